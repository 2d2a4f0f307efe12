package allotter

import "cowsliphinge/messenger"

// SetDeclaredGrant sets the sum of all top-ups of a budget as given in a version
// of the declarations. Sums only grow. The next write by any host raises the
// granted sum of the object to it, so no separate call is needed and setting the
// same sum again has no effect.
func (a *Allotter) SetDeclaredGrant(name string, granted int64) {
	b := a.getOrAddBudget(name)
	b.declaredGrant = min(max(b.declaredGrant, granted), MaxGranted)
}

// knownOrDeclaredBudget returns the known content of a budget with the declared sum
// applied, or nil if neither the platform nor the declarations contain it.
func (a *Allotter) knownOrDeclaredBudget(b *budgetState) *messenger.Budget {
	known := a.knownBudgets[b.name]
	if b.declaredGrant <= known.GetGranted() {
		return known
	}
	return &messenger.Budget{
		Name:         b.name,
		Granted:      b.declaredGrant,
		TopUps:       known.GetTopUps(),
		Holders:      known.GetHolders(),
		FoldedCharge: known.GetFoldedCharge(),
	}
}
