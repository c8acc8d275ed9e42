package revision

// DisableBaseCheck disables the comparison of a change's base with the revision in force.
func (r *Repository) DisableBaseCheck() { r.disabledRules.baseCheck = true }

// DisableResolve disables the retries that resolve a write whose reply was lost.
func (r *Repository) DisableResolve() { r.disabledRules.resolve = true }
