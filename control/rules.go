package control

// rules are safety rules that a test may switch off, one at a time, to show
// that the run then finds a violation. All are on outside of tests.
type safetyRules struct {
	fencing       bool // Units leave a server without its accepting the new term.
	grantExpiry   bool // Units leave a silent server before its grant has run out.
	readBack      bool // A write of unknown outcome is taken as not applied.
	confirmPage   bool // A restarted server is granted without reading the page again.
	previousOwner bool // A unit is granted before its previous owner has stopped.
}
