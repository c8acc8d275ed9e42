package revision

// DisableBase switches off the comparison with the revision in force.
func (k *Keeper) DisableBase() { k.disabled.base = true }

// DisableSettle switches off the settling of lost replies.
func (k *Keeper) DisableSettle() { k.disabled.settle = true }
