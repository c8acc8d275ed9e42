package control

// Rule names a safety rule that a test can disable.
type Rule string

// Safety rules that can be disabled.
const (
	RuleFence         Rule = "fence"
	RuleWaitForExpiry Rule = "wait-for-expiry"
	RuleReadBack      Rule = "read-back"
	RulePreviousOwner Rule = "previous-owner"
	RuleConfirmPage   Rule = "confirm-page"
)

// Disable disables a safety rule.
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
