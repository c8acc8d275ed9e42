package control

// Rule names a safety rule that a test switches off.
type Rule string

// Rules that can be switched off.
const (
	RuleFence         Rule = "fence"
	RuleWaitForExpiry Rule = "wait-out"
	RuleReadBack      Rule = "read-back"
	RulePreviousOwner Rule = "previous"
	RuleConfirmPage   Rule = "confirm"
)

// Disable switches a safety rule off.
func (m *Machine) Disable(rule Rule) {
	switch rule {
	case RuleFence:
		m.disabledRules.fencing = true
	case RuleWaitForExpiry:
		m.disabledRules.grantExpiry = true
	case RuleReadBack:
		m.disabledRules.readBack = true
	case RuleConfirmPage:
		m.disabledRules.confirmPage = true
	case RulePreviousOwner:
		m.disabledRules.previousOwner = true
	}
}
