package daemon

import (
	"slices"
	"strings"

	"guavacrank.example/traffic/route"
)

// sortServers sorts by name, as route.Service.Server needs it.
func sortServers(servers []*route.Server) {
	slices.SortFunc(servers, func(a, b *route.Server) int { return strings.Compare(a.Name, b.Name) })
}
