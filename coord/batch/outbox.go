package batch

import "slices"

// Outbox records an owner's batches that are not yet in the table and the peers
// that hold copies of them. It does no I/O.
type Outbox struct {
	incarnation  string
	lastSequence uint64
	unsaved      []*unsavedBatch
	bytes        int
	// holders are the peers that may hold copies of batches that they do not
	// yet know to be saved.
	holders map[string]*holder
}

type unsavedBatch struct {
	batch    Batch
	copiedTo []string
}

type holder struct {
	// highestCopied is the greatest sequence that the peer has a copy of.
	highestCopied uint64
	// sentThrough is the SavedThrough that the peer was sentThrough.
	sentThrough uint64
}

// NewOutbox returns an empty Outbox.
func NewOutbox(incarnation string) *Outbox {
	return &Outbox{incarnation: incarnation, holders: make(map[string]*holder)}
}

// Add creates the next batch from payload.
func (o *Outbox) Add(payload []byte) Batch {
	o.lastSequence++
	made := Batch{Incarnation: o.incarnation, Sequence: o.lastSequence, Payload: payload}
	o.unsaved = append(o.unsaved, &unsavedBatch{batch: made})
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

// SavedThrough returns the sequence up to which all batches are in the table.
func (o *Outbox) SavedThrough() uint64 {
	if len(o.unsaved) == 0 {
		return o.lastSequence
	}
	return o.unsaved[0].batch.Sequence - 1
}

// Unsaved returns up to count of the oldest batches that are not in the table.
func (o *Outbox) Unsaved(count int) []Batch {
	batches := make([]Batch, 0, min(count, len(o.unsaved)))
	for _, e := range o.unsaved[:min(count, len(o.unsaved))] {
		batches = append(batches, e.batch)
	}
	return batches
}

// MarkSaved records that batches are in the table.
func (o *Outbox) MarkSaved(batches []Batch) {
	saved := make(map[uint64]bool, len(batches))
	for _, b := range batches {
		saved[b.Sequence] = true
	}
	o.unsaved = slices.DeleteFunc(o.unsaved, func(e *unsavedBatch) bool {
		if saved[e.batch.Sequence] {
			o.bytes -= len(e.batch.Payload)
		}
		return saved[e.batch.Sequence]
	})
}

// CopyRequests returns the next request for each peer. Each of peers gets the
// batches that it has no copy of. Other holders of copies get a request without
// batches when SavedThrough covers copies that they still hold.
func (o *Outbox) CopyRequests(peers []string, maxBytes int) map[string]CopyRequest {
	requests := make(map[string]CopyRequest)
	for _, peer := range peers {
		if request := o.copyRequest(peer, maxBytes); len(request.Sequences) > 0 {
			requests[peer] = request
		}
	}
	saved := o.SavedThrough()
	for peer, h := range o.holders {
		_, planned := requests[peer]
		if !planned && h.sentThrough < min(saved, h.highestCopied) {
			requests[peer] = CopyRequest{Incarnation: o.incarnation, SavedThrough: saved}
		}
	}
	return requests
}

func (o *Outbox) copyRequest(peer string, maxBytes int) CopyRequest {
	request := CopyRequest{Incarnation: o.incarnation, SavedThrough: o.SavedThrough()}
	bytes := 0
	for _, e := range o.unsaved {
		if slices.Contains(e.copiedTo, peer) {
			continue
		}
		bytes += len(e.batch.Payload)
		if bytes > maxBytes && len(request.Sequences) > 0 {
			break
		}
		request.add(e.batch)
	}
	return request
}

// MarkDelivered records that a peer has accepted a request.
func (o *Outbox) MarkDelivered(peer string, request CopyRequest) {
	h := o.holders[peer]
	if h == nil {
		h = &holder{}
		o.holders[peer] = h
	}
	h.sentThrough = max(h.sentThrough, request.SavedThrough)
	for _, sequence := range request.Sequences {
		h.highestCopied = max(h.highestCopied, sequence)
	}
	for _, e := range o.unsaved {
		if slices.Contains(request.Sequences, e.batch.Sequence) && !slices.Contains(e.copiedTo, peer) {
			e.copiedTo = append(e.copiedTo, peer)
		}
	}
	if h.sentThrough >= h.highestCopied {
		delete(o.holders, peer)
	}
}

// ForgetPeer records that a peer has lost its copies.
func (o *Outbox) ForgetPeer(peer string) {
	delete(o.holders, peer)
	for _, e := range o.unsaved {
		e.copiedTo = slices.DeleteFunc(e.copiedTo, func(name string) bool { return name == peer })
	}
}

// CountCopied returns how many unsaved batches have at least count copies.
func (o *Outbox) CountCopied(count int) int {
	copied := 0
	for _, e := range o.unsaved {
		if len(e.copiedTo) >= count {
			copied++
		}
	}
	return copied
}
