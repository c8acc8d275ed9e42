package control

// Rule names a safety rule that a test switches off.
type Rule string

// Rules that can be switched off.
const (
	RuleFence    Rule = "fence"
	RuleWaitOut  Rule = "wait-out"
	RuleReadBack Rule = "read-back"
	RulePrevious Rule = "previous"
	RuleConfirm  Rule = "confirm"
)

// Disable switches a safety rule off.
func (m *Machine) Disable(rule Rule) {
	switch rule {
	case RuleFence:
		m.disabled.fence = true
	case RuleWaitOut:
		m.disabled.waitOut = true
	case RuleReadBack:
		m.disabled.readBack = true
	case RuleConfirm:
		m.disabled.confirm = true
	case RulePrevious:
		m.disabled.previous = true
	}
}
