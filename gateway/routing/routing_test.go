package routing_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/routing"
)

func TestFind(t *testing.T) {
	table := routing.NewTable(&model.Configuration{Routes: []model.Route{
		{Name: "root", Host: "a.example", PathPrefix: "/"},
		{Name: "x", Host: "a.example", PathPrefix: "/x/"},
		{Name: "xy", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "b", Host: "b.example", PathPrefix: "/only/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "xy"},
		{"a.example", "/x/yz", "x"},
		{"a.example", "/x", "root"},
		{"A.Example:8080", "/x/y/", "xy"},
		{"b.example", "/only/1", "b"},
		{"b.example", "/other", ""},
		{"c.example", "/", ""},
		{"[::1]:80", "/", ""},
	} {
		name := ""
		if route := table.Find(c.host, c.path); route != nil {
			name = route.Name
		}
		NewWithT(t).Expect(name).To(Equal(c.want), "%s%s", c.host, c.path)
	}
}

func TestPickTarget(t *testing.T) {
	g := NewWithT(t)
	route := &model.Route{Targets: []model.Target{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for random := range uint64(1000) {
		counts[routing.PickTarget(route, random)]++
	}
	g.Expect(counts).To(Equal(map[string]int{"a": 900, "b": 100}))
}
