package capacity

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// Samples and estimates are sent with every report, for every server: they are encoded as
// numbers of few bytes, each list as the base64 text that JSON makes of bytes.

const (
	// wireTime is the unit of times, wireScale what other numbers are multiplied by.
	wireTime  = 100 * time.Microsecond
	wireScale = 20
	// maxWire is the greatest number in a message, beyond which none makes sense.
	maxWire = math.MaxInt32
)

// errMalformed reports bytes that are no list of samples or estimates.
var errMalformed = errors.New("capacity: malformed list")

// EncodeSamples encodes samples for a message.
func EncodeSamples(samples []Sample) []byte {
	var text []byte
	for _, s := range samples {
		text = binary.BigEndian.AppendUint32(text, uint32(s.Server))
		for _, count := range [...]int{s.Sent, s.Served, s.Refused, s.Failed, s.Withheld, int(s.Busy / wireTime)} {
			text = appendCount(text, count)
		}
	}
	return text
}

// DecodeSamples decodes the samples of a message.
func DecodeSamples(text []byte) ([]Sample, error) {
	r := reader{rest: text}
	var samples []Sample
	for r.more() {
		samples = append(samples, Sample{
			Server:   r.server(),
			Sent:     r.count(),
			Served:   r.count(),
			Refused:  r.count(),
			Failed:   r.count(),
			Withheld: r.count(),
			Busy:     r.duration(),
		})
	}
	return samples, r.err
}

// EncodeEstimates encodes estimates for a message.
func EncodeEstimates(estimates []Estimate) []byte {
	var text []byte
	for _, e := range estimates {
		text = binary.BigEndian.AppendUint32(text, uint32(e.Server))
		text = appendCount(text, int(e.ServiceTime/wireTime))
		rate := max(e.Rate, minWireRate)
		for _, number := range [...]float64{rate, e.Arrival, e.Demand, e.InSystem, e.Failures, e.Confidence} {
			text = appendNumber(text, number)
		}
	}
	return text
}

// minWireRate is the least rate in a message: one of zero says that nothing is known.
const minWireRate = 1.0 / wireScale

// appendCount appends the nearest number that a message may hold: the receiver would ignore the
// whole list for another one.
func appendCount(text []byte, count int) []byte {
	return binary.AppendUvarint(text, uint64(min(max(count, 0), maxWire)))
}

// appendNumber appends a scaled number; one that is none counts as zero.
func appendNumber(text []byte, number float64) []byte {
	if math.IsNaN(number) {
		number = 0
	}
	return appendCount(text, int(min(math.Round(number*wireScale), maxWire)))
}

// DecodeEstimates decodes the estimates of a message.
func DecodeEstimates(text []byte) ([]Estimate, error) {
	r := reader{rest: text}
	var estimates []Estimate
	for r.more() {
		estimates = append(estimates, Estimate{
			Server:      r.server(),
			ServiceTime: r.duration(),
			Rate:        r.number(),
			Arrival:     r.number(),
			Demand:      r.number(),
			InSystem:    r.number(),
			Failures:    r.number(),
			Confidence:  r.number(),
		})
	}
	return estimates, r.err
}

// reader reads an encoded list. After an error it returns zeros.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) more() bool { return r.err == nil && len(r.rest) > 0 }

func (r *reader) server() ServerKey {
	const size = 4
	if r.err != nil || len(r.rest) < size {
		r.err = errMalformed
		return 0
	}
	key := ServerKey(binary.BigEndian.Uint32(r.rest))
	r.rest = r.rest[size:]
	return key
}

// count returns a number up to maxWire.
func (r *reader) count() int {
	if r.err != nil {
		return 0
	}
	value, size := binary.Uvarint(r.rest)
	if size <= 0 || value > maxWire {
		r.err = errMalformed
		return 0
	}
	r.rest = r.rest[size:]
	return int(value)
}

func (r *reader) duration() time.Duration { return time.Duration(r.count()) * wireTime }

func (r *reader) number() float64 { return float64(r.count()) / wireScale }
