package batch

import "slices"

// Outbox is the owner's record of its batches that are not yet in the table and
// of who has copies of them. It does no input or output.
type Outbox struct {
	incarnation string
	last        uint64
	unsaved     []*entry
	bytes       int
	// holders are the peers that have copies, with what they were told.
	holders map[string]*holder
}

type entry struct {
	batch  Batch
	copied []string
}

type holder struct {
	// highest is the greatest sequence that the peer has a copy of.
	highest uint64
	// told is the SavedThrough that the peer was told.
	told uint64
}

// NewOutbox returns an empty Outbox.
func NewOutbox(incarnation string) *Outbox {
	return &Outbox{incarnation: incarnation, holders: make(map[string]*holder)}
}

// Add makes a batch of payload.
func (o *Outbox) Add(payload []byte) Batch {
	o.last++
	made := Batch{Incarnation: o.incarnation, Sequence: o.last, Payload: payload}
	o.unsaved = append(o.unsaved, &entry{batch: made})
	o.bytes += len(payload)
	return made
}

// Bytes returns the size of the payloads that are not in the table.
func (o *Outbox) Bytes() int {
	return o.bytes
}

// Len returns how many batches are not in the table.
func (o *Outbox) Len() int {
	return len(o.unsaved)
}

// SavedThrough returns the greatest sequence up to which all batches are in the
// table.
func (o *Outbox) SavedThrough() uint64 {
	if len(o.unsaved) == 0 {
		return o.last
	}
	return o.unsaved[0].batch.Sequence - 1
}

// Unsaved returns the oldest batches that are not in the table, at most count.
func (o *Outbox) Unsaved(count int) []Batch {
	batches := make([]Batch, 0, min(count, len(o.unsaved)))
	for _, e := range o.unsaved[:min(count, len(o.unsaved))] {
		batches = append(batches, e.batch)
	}
	return batches
}

// MarkSaved notes that batches are in the table.
func (o *Outbox) MarkSaved(batches []Batch) {
	saved := make(map[uint64]bool, len(batches))
	for _, b := range batches {
		saved[b.Sequence] = true
	}
	o.unsaved = slices.DeleteFunc(o.unsaved, func(e *entry) bool {
		if saved[e.batch.Sequence] {
			o.bytes -= len(e.batch.Payload)
		}
		return saved[e.batch.Sequence]
	})
}

// CopyRequests returns what to send to whom: to each of peers the batches that it has
// no copy of, and to every holder of copies how far the batches are saved.
func (o *Outbox) CopyRequests(peers []string, maxBytes int) map[string]CopyRequest {
	parcels := make(map[string]CopyRequest)
	for _, peer := range peers {
		if parcel := o.parcel(peer, maxBytes); len(parcel.Sequences) > 0 {
			parcels[peer] = parcel
		}
	}
	saved := o.SavedThrough()
	for peer, h := range o.holders {
		_, planned := parcels[peer]
		if !planned && h.told < min(saved, h.highest) {
			parcels[peer] = CopyRequest{Incarnation: o.incarnation, SavedThrough: saved}
		}
	}
	return parcels
}

func (o *Outbox) parcel(peer string, maxBytes int) CopyRequest {
	parcel := CopyRequest{Incarnation: o.incarnation, SavedThrough: o.SavedThrough()}
	bytes := 0
	for _, e := range o.unsaved {
		if slices.Contains(e.copied, peer) {
			continue
		}
		bytes += len(e.batch.Payload)
		if bytes > maxBytes && len(parcel.Sequences) > 0 {
			break
		}
		parcel.add(e.batch)
	}
	return parcel
}

// MarkDelivered notes that a peer has taken a parcel.
func (o *Outbox) MarkDelivered(peer string, parcel CopyRequest) {
	h := o.holders[peer]
	if h == nil {
		h = &holder{}
		o.holders[peer] = h
	}
	h.told = max(h.told, parcel.SavedThrough)
	for _, sequence := range parcel.Sequences {
		h.highest = max(h.highest, sequence)
	}
	for _, e := range o.unsaved {
		if slices.Contains(parcel.Sequences, e.batch.Sequence) && !slices.Contains(e.copied, peer) {
			e.copied = append(e.copied, peer)
		}
	}
	if h.told >= h.highest {
		delete(o.holders, peer)
	}
}

// ForgetPeer notes that a peer is gone together with its copies.
func (o *Outbox) ForgetPeer(peer string) {
	delete(o.holders, peer)
	for _, e := range o.unsaved {
		e.copied = slices.DeleteFunc(e.copied, func(name string) bool { return name == peer })
	}
}

// CountCopied returns how many unsaved batches have at least count copies.
func (o *Outbox) CountCopied(count int) int {
	copied := 0
	for _, e := range o.unsaved {
		if len(e.copied) >= count {
			copied++
		}
	}
	return copied
}
