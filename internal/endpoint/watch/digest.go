package watch

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// bucketCount divides the list of endpoints for comparison: daemons exchange
// only the buckets that differ.
const bucketCount = 128

// BucketDigests sum up the parts of a list of endpoints.
type BucketDigests []uint64

// total sums up a whole list.
func (d BucketDigests) total() uint64 {
	var sum uint64
	for i, bucket := range d {
		sum += bucket * uint64(2*i+1)
	}
	return sum
}

func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % bucketCount)
}

// digestsOf sums up a list. The time left until a reclaim is left out, since
// it changes all the time.
func digestsOf(endpoints map[string]entity.Endpoint) BucketDigests {
	digests := make(BucketDigests, bucketCount)
	for id, endpoint := range endpoints {
		endpoint.ReclaimIn = 0
		encoded, err := msgpack.Marshal(&endpoint)
		if err != nil {
			// Plain data of fixed types always encodes.
			panic("watch: " + err.Error())
		}
		digests[bucketOf(id)] += xxhash.Sum64(encoded)
	}
	return digests
}

// inBuckets returns the endpoints of some buckets.
func inBuckets(endpoints map[string]entity.Endpoint, buckets []int) []entity.Endpoint {
	var found []entity.Endpoint
	for id, endpoint := range endpoints {
		if slices.Contains(buckets, bucketOf(id)) {
			found = append(found, endpoint)
		}
	}
	return found
}

// differing returns the buckets in which two lists differ.
func differing(a, b BucketDigests) []int {
	var buckets []int
	for i := range bucketCount {
		if a[i] != b[i] {
			buckets = append(buckets, i)
		}
	}
	return buckets
}
