package diff_test

import (
	"os"
	"reflect"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/config"
	"guavacrank.example/config/diff"
)

// leaf is one value inside a configuration.
type leaf struct {
	path  string
	value reflect.Value
}

// leaves lists every value that a change could touch.
func leaves(path string, value reflect.Value) []leaf {
	var list []leaf
	switch {
	case value.Type() == reflect.TypeFor[time.Time]():
		return []leaf{{path, value}}
	case value.Kind() == reflect.Struct:
		for i := range value.NumField() {
			list = append(list, leaves(path+"."+value.Type().Field(i).Name, value.Field(i))...)
		}
	case value.Kind() == reflect.Slice:
		for i := range value.Len() {
			list = append(list, leaves(path+"[]", value.Index(i))...)
		}
	default:
		return []leaf{{path, value}}
	}
	return list
}

// alter gives a value another one.
func alter(value reflect.Value) {
	switch value.Kind() {
	case reflect.String:
		value.SetString(value.String() + "-other")
	case reflect.Bool:
		value.SetBool(!value.Bool())
	case reflect.Uint8:
		value.SetUint(value.Uint() ^ 1)
	case reflect.Struct:
		value.Set(reflect.ValueOf(value.Interface().(time.Time).Add(time.Hour)))
	default:
		value.SetInt(value.Int() + 1)
	}
}

// implied reports whether a value is the service or class of an exception for
// a server: the server implies the first, and the parser refuses the second.
func implied(c *config.Configuration, value reflect.Value) bool {
	for i := range c.Exceptions {
		exception := &c.Exceptions[i]
		at := value.Addr().Interface()
		if exception.Server != "" && (at == &exception.Service || at == &exception.Class) {
			return true
		}
	}
	return false
}

var _ = Describe("Compare", func() {
	It("sees a change of every field of a configuration", func() {
		data, err := os.ReadFile("../testdata/good/full.yaml")
		Expect(err).NotTo(HaveOccurred())
		read := func() *config.Configuration {
			parsed, err := config.ParseConfiguration("full.yaml", data)
			Expect(err).NotTo(HaveOccurred())
			return parsed
		}
		count := len(leaves("", reflect.ValueOf(read()).Elem()))
		Expect(count).To(BeNumerically(">", 60))
		for i := range count {
			changed := read()
			touched := leaves("", reflect.ValueOf(changed).Elem())[i]
			if implied(changed, touched.value) {
				continue
			}
			alter(touched.value)
			Expect(diff.Compare(read(), changed)).NotTo(BeEmpty(), touched.path)
		}
	})
})
