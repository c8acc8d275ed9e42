package control

// safetyRules holds one switch for each safety rule. A test sets one at a time
// to disable that rule, and checks that a violation is then found. Each comment
// says what happens without the rule. No rule is disabled outside of tests.
type safetyRules struct {
	fencing       bool // Units leave a server before it has accepted the new term.
	grantExpiry   bool // Units leave an unresponsive server before its grant has expired.
	readBack      bool // A write of unknown outcome is treated as not applied.
	confirmPage   bool // A restarted server is given a grant without reading the page again.
	previousOwner bool // A unit is granted before its previous owner has stopped.
}
