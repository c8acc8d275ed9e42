package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Kind is the unit of a value in YAML.
type Kind uint8

// Kinds of values.
const (
	KindCount           Kind = iota // A whole number without unit.
	KindDuration                    // In nanoseconds; written as 250ms, 1.4s, 2m.
	KindPercent                     // In percent; written as 10%.
	KindPermille                    // In thousandths; written as 2% or 2.5%.
	KindPartsPerMillion             // In parts of a million; written as 1000ppm.
	KindBytes                       // In bytes; written as 64KiB or 1MiB.
	KindByteRate                    // In bytes a second; written as 300KiB/s.
)

// Example returns a value as YAML writes it.
func (k Kind) Example() string {
	examples := [...]string{"8", "250ms", "10%", "2.5%", "1000ppm", "64KiB", "300KiB/s"}
	return examples[k]
}

// String returns the unit's name.
func (k Kind) String() string {
	names := [...]string{"count", "duration", "percent", "percent with one decimal", "parts per million", "bytes", "bytes a second"}
	return names[k]
}

// byteUnits lists the suffixes of sizes, largest first.
var byteUnits = []struct {
	suffix string
	bytes  int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// permillePerPercent converts tenths of a percent.
const permillePerPercent = 10

// Parse reads a value as YAML writes it.
func (k Kind) Parse(text string) (int64, error) {
	switch k {
	case KindDuration:
		return parseDuration(text)
	case KindPercent:
		return parseSuffixed(text, "%", k)
	case KindPermille:
		return parsePermille(text)
	case KindPartsPerMillion:
		return parseSuffixed(text, "ppm", k)
	case KindBytes:
		return parseBytes(text, k)
	case KindByteRate:
		return parseByteRate(text)
	default:
		return parseSuffixed(text, "", k)
	}
}

// Format writes a value as YAML writes it.
func (k Kind) Format(value int64) string {
	switch k {
	case KindDuration:
		return time.Duration(value).String()
	case KindPercent:
		return fmt.Sprintf("%d%%", value)
	case KindPermille:
		return formatPermille(value)
	case KindPartsPerMillion:
		return fmt.Sprintf("%dppm", value)
	case KindBytes:
		return formatBytes(value)
	case KindByteRate:
		return formatBytes(value) + "/s"
	default:
		return strconv.FormatInt(value, 10)
	}
}

// needsUnit is the fault of a value that is not of kind k.
func needsUnit(text string, k Kind) error {
	return fmt.Errorf("%q is not a %s such as %s", text, k, k.Example())
}

func parseDuration(text string) (int64, error) {
	duration, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		return 0, needsUnit(text, KindDuration)
	}
	return int64(duration), nil
}

func parseSuffixed(text, suffix string, k Kind) (int64, error) {
	digits, found := strings.CutSuffix(text, suffix)
	if !found {
		return 0, needsUnit(text, k)
	}
	value, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return 0, needsUnit(text, k)
	}
	return value, nil
}

func parsePermille(text string) (int64, error) {
	digits, found := strings.CutSuffix(text, "%")
	if !found {
		return 0, needsUnit(text, KindPermille)
	}
	whole, tenth, decimal := strings.Cut(digits, ".")
	if !decimal {
		tenth = "0"
	}
	if len(tenth) != 1 {
		return 0, needsUnit(text, KindPermille)
	}
	percent, err := strconv.ParseUint(whole, 10, 16)
	if err != nil {
		return 0, needsUnit(text, KindPermille)
	}
	tenths, err := strconv.ParseUint(tenth, 10, 8)
	if err != nil {
		return 0, needsUnit(text, KindPermille)
	}
	return int64(percent*permillePerPercent + tenths), nil
}

func formatPermille(value int64) string {
	percent, tenths := value/permillePerPercent, value%permillePerPercent
	if tenths == 0 {
		return fmt.Sprintf("%d%%", percent)
	}
	return fmt.Sprintf("%d.%d%%", percent, tenths)
}

func parseBytes(text string, k Kind) (int64, error) {
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseUint(digits, 10, 32)
		if err != nil {
			return 0, needsUnit(text, k)
		}
		return int64(count) * unit.bytes, nil
	}
	return 0, needsUnit(text, k)
}

func parseByteRate(text string) (int64, error) {
	size, found := strings.CutSuffix(text, "/s")
	if !found {
		return 0, needsUnit(text, KindByteRate)
	}
	return parseBytes(size, KindByteRate)
}

func formatBytes(value int64) string {
	for _, unit := range byteUnits {
		if value >= unit.bytes && value%unit.bytes == 0 {
			return fmt.Sprintf("%d%s", value/unit.bytes, unit.suffix)
		}
	}
	return fmt.Sprintf("%dB", value)
}
