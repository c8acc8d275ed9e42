package daemon_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/traffic/verdict"
)

// unusualKeys are keys whose paths have empty or dot segments, and the keys' decoded form.
var unusualKeys = map[string]string{
	"a//b":       "a//b",
	"/a":         "/a",
	"a/":         "a/",
	"a/./b":      "a/./b",
	"a/../b":     "a/../b",
	"..":         "..",
	"a%2F..%2Fb": "a/../b",
	"a%20//b":    "a //b",
}

var _ = Describe("keys with slashes", func() {
	// Guards against a redirect by net/http in place of the server's answer.
	It("reach the server as they are, through every VM", func() {
		f := newTestFleet(2, 3)
		f.waitUntilServed(f.vms...)
		for _, v := range f.vms {
			for escaped, key := range unusualKeys {
				f.records.Reset()
				responses := v.sendRaw("GET /v1/recipes/" + escaped + " HTTP/1.1\r\n" + rawHost + "Connection: close\r\n\r\n")
				Expect(responses).To(HaveLen(1), "path of key %s", escaped)
				Expect(responses[0].Header.Get(verdict.Header)).To(Equal(verdict.Answered.String()), "path of key %s", escaped)
				Expect(responses[0].StatusCode).To(Equal(http.StatusOK), "path of key %s", escaped)
				runs := f.records.Runs()
				Expect(runs).To(HaveLen(1), "path of key %s", escaped)
				Expect(runs[0].Key).To(Equal(key), "path of key %s", escaped)
			}
		}
	})
})
