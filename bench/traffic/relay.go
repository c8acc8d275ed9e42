package traffic

import (
	"io"
	"maps"
	"net/http"
)

// relay passes requests to one server with net/http and does nothing else: the
// least that anything between callers and servers costs.
type relay struct {
	address   string
	transport *http.Transport
}

func newRelay(address string) *relay {
	return &relay{address: address, transport: &http.Transport{
		MaxIdleConnsPerHost: slots,
		DisableCompression:  true,
	}}
}

// ServeHTTP passes one request on.
func (p *relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host, out.RequestURI = "http", p.address, ""
	answer, err := p.transport.RoundTrip(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer answer.Body.Close()
	maps.Copy(w.Header(), answer.Header)
	w.WriteHeader(answer.StatusCode)
	io.Copy(w, answer.Body)
}
