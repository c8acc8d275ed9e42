package succession

// Knowledge is what the daemons know of the time before a restoration of the store.
//
// A later leader moves keys only after its predecessor confirmed that it stopped, or after
// more than two thirds of the daemons reported to it.
type Knowledge struct {
	Members   int // The largest number of daemons that any of them knows.
	Asked     int // The number of daemons that were asked.
	Witnesses int // Those that have followed no later leader than the last known one.
	// PagesKnown says that the last known leader has stopped and its pages are known.
	PagesKnown bool
}

// Enough says whether a third of the fleet are witnesses: no later leader had two thirds.
func (k Knowledge) Enough() bool {
	return k.Members > 0 && 3*k.Witnesses >= max(k.Members, k.Asked+1)
}

// Confirmed says whether the newest pages are known.
func (k Knowledge) Confirmed() bool { return k.PagesKnown && k.Enough() }
