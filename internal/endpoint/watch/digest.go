package watch

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// bucketCount is the number of buckets into which the list is divided by a hash
// of the endpoint ID. Daemons exchange only the buckets that differ.
const bucketCount = 128

// BucketDigests holds one digest for each bucket of a list of endpoints.
type BucketDigests []uint64

// total returns a digest of the whole list.
func (d BucketDigests) total() uint64 {
	var sum uint64
	for i, bucket := range d {
		sum += bucket * uint64(2*i+1)
	}
	return sum
}

func bucketIndex(id string) int {
	return int(xxhash.Sum64String(id) % bucketCount)
}

// computeDigests returns the digests of a list. It ignores ReclaimIn, which
// changes with every read.
func computeDigests(endpoints map[string]entity.Endpoint) BucketDigests {
	digests := make(BucketDigests, bucketCount)
	for id, endpoint := range endpoints {
		endpoint.ReclaimIn = 0
		encoded, err := msgpack.Marshal(&endpoint)
		if err != nil {
			// Plain data of fixed types always encodes.
			panic("watch: " + err.Error())
		}
		digests[bucketIndex(id)] += xxhash.Sum64(encoded)
	}
	return digests
}

// endpointsInBuckets returns the endpoints that belong to the given buckets.
func endpointsInBuckets(endpoints map[string]entity.Endpoint, buckets []int) []entity.Endpoint {
	var found []entity.Endpoint
	for id, endpoint := range endpoints {
		if slices.Contains(buckets, bucketIndex(id)) {
			found = append(found, endpoint)
		}
	}
	return found
}

// differingBuckets returns the indexes of the buckets in which two lists differ.
func differingBuckets(a, b BucketDigests) []int {
	var buckets []int
	for i := range bucketCount {
		if a[i] != b[i] {
			buckets = append(buckets, i)
		}
	}
	return buckets
}
