package revision

// DisableBaseCheck switches off the comparison with the revision in force.
func (k *Repository) DisableBaseCheck() { k.disabled.base = true }

// DisableResolve switches off the settling of lost replies.
func (k *Repository) DisableResolve() { k.disabled.settle = true }
