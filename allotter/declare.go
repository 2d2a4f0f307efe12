package allotter

import "cowsliphinge/messenger"

// Declare tells the sum of all top-ups of a budget as a version of the
// declarations names it. Sums only grow: whoever writes next raises the object's
// to it, so that no call of its own is needed and a repeat counts once.
func (a *Allotter) SetDeclaredGrant(name string, granted int64) {
	b := a.allotment(name)
	b.declared = min(max(b.declared, granted), MaxGranted)
}

// content returns the known content of a budget with the declared sum, or nil if
// neither the platform nor the declarations told of it.
func (a *Allotter) content(b *allotment) *messenger.Budget {
	known := a.index[b.name]
	if b.declared <= known.GetGranted() {
		return known
	}
	return &messenger.Budget{
		Name:         b.name,
		Granted:      b.declared,
		TopUps:       known.GetTopUps(),
		Holders:      known.GetHolders(),
		FoldedCharge: known.GetFoldedCharge(),
	}
}
