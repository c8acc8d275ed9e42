package daemon

import (
	"slices"
	"strings"

	"guavacrank.example/traffic/route"
)

// sortServers sorts servers by name, as route.Service.Server requires.
func sortServers(servers []*route.Server) {
	slices.SortFunc(servers, func(a, b *route.Server) int { return strings.Compare(a.Name, b.Name) })
}
