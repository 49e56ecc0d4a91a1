package apply

import (
	"slices"

	"github.com/banyanshift/banyanshift/internal/cli/manifest"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// sortForParts orders changes so that each can be made after those before it:
// first what is written, an entity after those that it refers to; then what is
// deleted, an entity before those that it refers to.
func sortForParts(changes []*operatorv1.EntityChange) {
	slices.SortStableFunc(changes, func(a, b *operatorv1.EntityChange) int {
		return rank(a) - rank(b)
	})
}

func rank(change *operatorv1.EntityChange) int {
	kind, _, _ := manifest.Parts(change.GetEntity())
	position := slices.Index(manifest.Kinds, kind)
	if change.GetDelete() {
		return 2*len(manifest.Kinds) - position
	}
	return position
}
