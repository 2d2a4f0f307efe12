package decoder

import (
	"maps"
	"slices"
)

func sortedKeys(object map[string]any) []string {
	return slices.Sorted(maps.Keys(object))
}
