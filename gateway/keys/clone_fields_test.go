package keys

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"
	"unsafe"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
)

// fill sets every field, entry and element below a value to something that is not zero.
// Pointers that lead back to a type on the way stay nil.
func fill(value reflect.Value, next *uint64, above ...reflect.Type) {
	*next++
	switch value.Kind() {
	case reflect.Struct:
		for at := range value.NumField() {
			fill(writable(value.Field(at)), next, above...)
		}
	case reflect.Pointer:
		for _, t := range above {
			if t == value.Type() {
				return
			}
		}
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), next, append(above, value.Type())...)
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, next, above...)
		fill(element, next, above...)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), next, above...)
	case reflect.String:
		value.SetString(fmt.Sprint("text", *next))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float64:
		value.SetFloat(float64(*next))
	case reflect.Int, reflect.Int64:
		value.SetInt(int64(*next))
	case reflect.Uint8, reflect.Uint16, reflect.Uint64:
		value.SetUint(*next % 200)
	default:
		panic("no filling of " + value.Type().String())
	}
}

// writable lifts the protection of an unexported field.
func writable(field reflect.Value) reflect.Value {
	return reflect.NewAt(field.Type(), unsafe.Pointer(field.UnsafeAddr())).Elem()
}

// filledMachine returns a machine without a zero field, whose indexes refer to its rows.
func filledMachine() *Machine {
	m, next := &Machine{}, uint64(0)
	fill(reflect.ValueOf(m).Elem(), &next)
	for _, row := range m.servers {
		m.servers = map[model.Incarnation]*serverRow{row.Incarnation(): row}
		m.latestByID = map[string]*serverRow{row.ID: row}
		m.latestByAddress = map[string]*serverRow{row.Address: row}
	}
	return m
}

// shared lists the maps, slices and pointers that two values have in common, except pages.
func shared(path string, a, b reflect.Value) []string {
	if a.Type() == reflect.TypeFor[*Page]() || a.Type() == reflect.TypeFor[*PageWrite]() {
		return nil
	}
	var found []string
	switch a.Kind() {
	case reflect.Struct:
		for at := range a.NumField() {
			found = append(found, shared(path+"."+a.Type().Field(at).Name, a.Field(at), b.Field(at))...)
		}
	case reflect.Pointer, reflect.Map, reflect.Slice:
		if a.Pointer() == b.Pointer() {
			return []string{path}
		}
		found = append(found, sharedElements(path, a, b)...)
	}
	return found
}

func sharedElements(path string, a, b reflect.Value) []string {
	var found []string
	switch a.Kind() {
	case reflect.Pointer:
		return shared(path, a.Elem(), b.Elem())
	case reflect.Map:
		for _, key := range a.MapKeys() {
			found = append(found, shared(path+"[]", a.MapIndex(key), b.MapIndex(key))...)
		}
	case reflect.Slice:
		for at := range a.Len() {
			found = append(found, shared(path+"[]", a.Index(at), b.Index(at))...)
		}
	}
	return found
}

func TestCloneCopiesEveryField(t *testing.T) {
	g := NewWithT(t)
	m := filledMachine()
	clone := m.Clone()
	g.Expect(reflect.DeepEqual(m, clone)).To(BeTrue(), "a field was not copied")
	g.Expect(shared("Machine", reflect.ValueOf(m).Elem(), reflect.ValueOf(clone).Elem())).To(BeEmpty())
	for _, row := range clone.servers {
		g.Expect(clone.latestByID[row.ID]).To(BeIdenticalTo(row))
		g.Expect(clone.latestByAddress[row.Address]).To(BeIdenticalTo(row))
	}
}

// noEffect are the fields that a fingerprint leaves out, each with the reason.
var noEffect = map[string]string{
	"Machine.options":         "the same for a machine's life",
	"Machine.now":             "every step sets it",
	"Machine.nextWriteID":     "names writes, and only has to be new",
	"Machine.nextCallID":      "names calls, and only has to be new",
	"Machine.nextPruneAt":     "removes unused state only",
	"Machine.latestByID":      "follows from servers",
	"Machine.latestByAddress": "follows from servers",
	"serverRow.utilization":   "computed before each use",
	"serverRow.serviceTime":   "computed before each use",
	"serverRow.rate":          "computed before each use",
	"serverRow.target":        "computed before each use",
	"serverRow.capacity":      "computed before each use",
	"grantRow.handover":       "only whether there is one",
	"Ready.Write":             "only whether there is one",
	"Ready.Grants":            "only their number",
	"Ready.Releases":          "only their number",
	"Ready.Probes":            "only their number",
	"endpointRow.inFlight[]":  "start times are not read",
	"holderBound.pending[]":   "start times are not read",
	"Machine.releasing[]":     "start times are not read",
	"releaseResult.handover":  "only whether there is one",
	"Machine.changing[]":      "always true",
	"predecessors.ended[]":    "always true",
	"predecessors.impaired[]": "always true",
	"Leader.VM":               "follows from the incarnation",
	"Leader.Address":          "follows from the incarnation",
}

// change alters a value that is no map, slice, pointer or struct.
func change(value reflect.Value) {
	switch value.Kind() {
	case reflect.String:
		value.SetString(value.String() + "x")
	case reflect.Bool:
		value.SetBool(!value.Bool())
	case reflect.Float64:
		value.SetFloat(value.Float() + 1)
	case reflect.Int, reflect.Int64:
		value.SetInt(value.Int() + 7)
	default:
		value.SetUint(value.Uint() ^ 1)
	}
}

// unseen lists the fields below a value whose change does not change the fingerprint.
func unseen(path string, value reflect.Value, fingerprint func() Fingerprint) []string {
	if _, ok := noEffect[path]; ok {
		return nil
	}
	var found []string
	switch value.Kind() {
	case reflect.Struct:
		for at := range value.NumField() {
			name := value.Type().Name() + "." + value.Type().Field(at).Name
			found = append(found, unseen(name, writable(value.Field(at)), fingerprint)...)
		}
	case reflect.Pointer:
		if !value.IsNil() {
			return unseen(path, value.Elem(), fingerprint)
		}
	case reflect.Slice:
		return unseen(path+"[]", value.Index(0), fingerprint)
	case reflect.Map:
		return unseenInMap(path+"[]", value, fingerprint)
	default:
		if numbered[path] {
			return nil
		}
		if ranked[path] {
			if !seesRank(value, fingerprint) {
				found = []string{path}
			}
			return found
		}
		before, old := fingerprint(), reflect.New(value.Type()).Elem()
		old.Set(value)
		change(value)
		if fingerprint() == before {
			found = []string{path}
		}
		value.Set(old)
	}
	return found
}

// seesRank reports whether a fingerprint tells a fence from none and from one that lies on the
// other side of the other fences: below or above them.
func seesRank(fence reflect.Value, fingerprint func() Fingerprint) bool {
	before, old := fingerprint(), fence.Uint()
	defer fence.SetUint(old)
	differs := func(other uint64) bool {
		fence.SetUint(other)
		return fingerprint() != before
	}
	return differs(0) && (differs(1) || differs(math.MaxUint64))
}

func unseenInMap(path string, value reflect.Value, fingerprint func() Fingerprint) []string {
	if _, ok := noEffect[path]; ok {
		return nil
	}
	key := value.MapKeys()[0]
	element := value.MapIndex(key)
	if element.Kind() == reflect.Pointer {
		return unseen(path, element, fingerprint)
	}
	changed := reflect.New(element.Type()).Elem()
	changed.Set(element)
	return unseen(path, changed, func() Fingerprint {
		value.SetMapIndex(key, changed)
		return fingerprint()
	})
}

// numbered are the fields of which only the order or equality with others counts, so that a
// small change need not change the fingerprint.
var numbered = map[string]bool{
	"Machine.version": true, "Machine.lastFence": true, "Page.Fence": true, "Stamp.Number": true, "Page.WriteID": true,
	"LostGrants.WriteID": true, "Holder.Fence": true, "grantRow.term": true, "grantRow.fence": true, "grantRow.connection": true,
}

// ranked are fences of which only the order counts (seesRank).
var ranked = map[string]bool{"Release.Fence": true, "Release.Held": true, "fencingRow.first": true, "fencingRow.last": true}

func TestFingerprintSeesEveryField(t *testing.T) {
	g := NewWithT(t)
	m := filledMachine()
	// All times are in the future, so that none is too old to count.
	fingerprint := func() Fingerprint { return m.Fingerprint(-time.Hour) }
	g.Expect(unseen("Machine", reflect.ValueOf(m).Elem(), fingerprint)).To(BeEmpty())
}

func TestFingerprintIsTheSameLater(t *testing.T) {
	g := NewWithT(t)
	m := NewMachine(Options{Service: "s", GrantTTL: time.Second, PredecessorTimeout: time.Second})
	m.Lead(time.Minute, 1)
	later := m.Clone()
	later.Lead(2*time.Minute, 1)
	g.Expect(later.Fingerprint(2 * time.Minute)).To(Equal(m.Fingerprint(time.Minute)))
	g.Expect(later.Fingerprint(2*time.Minute + 1)).NotTo(Equal(m.Fingerprint(time.Minute)))
}
