package openai

import (
	"context"
	"strings"

	"github.com/banyanshift/banyanshift/internal/caller/body"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
)

const (
	// copiesOfText is how many times the text of an answer is held: while it grows, and encoded.
	copiesOfText = 3
	// textStepBytes is the granularity of reservations for text. The first step is part of what any
	// request takes.
	textStepBytes = 16 << 10
)

// keptText is the text of an answer, which is needed to continue it on another engine, or to send it
// as a whole.
type keptText struct {
	memory memory.Reservation
	text   strings.Builder
	// covered is what is reserved or free.
	covered int
	// dropped is set once there was no memory for the text.
	dropped bool
}

// add appends a part of the text, if there is memory for it. Otherwise it drops all of it.
func (k *keptText) add(ctx context.Context, part string) {
	if k.dropped {
		return
	}
	missing := (k.text.Len()+len(part))*copiesOfText - max(k.covered, textStepBytes)
	if missing > 0 {
		step := (missing + textStepBytes - 1) / textStepBytes * textStepBytes
		if !k.memory.Grow(ctx, step, body.MemoryWait) {
			k.text.Reset()
			k.memory.Release()
			k.dropped = true
			return
		}
		k.covered = max(k.covered, textStepBytes) + step
	}
	k.text.WriteString(part)
}

// String returns the text.
func (k *keptText) String() string { return k.text.String() }
