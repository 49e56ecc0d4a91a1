//go:build review

// Command 11 restarts a few gateways while the platform's store gives no answers, changes the manifest
// after the store has come back, and looks which manifest the gateways serve.
package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/banyanshift/banyanshift/review/rig3"
)

const (
	// silence is how long the store gives no answers, and killBefore how long before its end the
	// processes are killed.
	silence    = 4 * time.Second
	killBefore = 400 * time.Millisecond
	// changeAfter is the time from the end of the silence to the change of the manifest.
	changeAfter = 300 * time.Millisecond
	// contact is contact_ms, and apply is config_apply_ms.
	contact = 3 * time.Second
	apply   = 2 * time.Second
	// warmUp is the time from the start to the silence, and length that of the whole run.
	warmUp = 8 * time.Second
	length = 22 * time.Second
	// perMachine is how many requests a second each machine gets from consumers.
	perMachine = 20
)

const (
	oldKey = "n2ctnfzs989anu6wsjnb"
	newKey = "k8dm2v0qpw51tzr7hxya"
)

// manifest returns a version of the manifest in which the tenant has one key, and the route leads to
// one service.
func manifest(version int, key, service string) rig3.JSON {
	return rig3.JSON(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r1","host":"ficu95.example","prefix":"/puxa403/","kind":"non_idempotent","timeout_ms":2500,"target_latency_ms":100,"priority":2,"service":%q,"attempts":1}],
"services":[{"name":"panel-desk","health_path":"/health","connection_limit":370},{"name":"other-desk","health_path":"/health","connection_limit":370}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":[%q]}]}`, version, service, key))
}

func main() { os.Exit(rig3.Run(run)) }

func run(c *rig3.Case) error {
	store, err := rig3.NewStore("127.0.0.1")
	if err != nil {
		return err
	}
	store.Put("op", "config", manifest(7, oldKey, "panel-desk"))
	for n, zone := range rig3.Zones {
		for _, service := range []string{"panel-desk", "other-desk"} {
			r := &rig3.Replica{ID: fmt.Sprintf("i-%s-%d", service, n), Service: service, Zone: zone, Slots: 6, Queue: 24, Work: 15 * time.Millisecond}
			if err := r.Start(store, "127.0.0.1"); err != nil {
				return err
			}
		}
	}
	fleet := rig3.NewFleet(store, c.Dir)
	fleet.AddSmall()
	if err := fleet.ChoosePorts(); err != nil {
		return err
	}
	defer fleet.KillAll()
	began := time.Now()
	if err := rig3.StartAll(fleet.Machines, true); err != nil {
		return err
	}
	consumers := &rig3.Consumers{Host: "ficu95.example", Path: "/puxa403/2f", Method: "POST", Key: oldKey, Body: "x", TimeLimit: 2500 * time.Millisecond}
	for _, m := range fleet.Machines {
		consumers.Offer(m, perMachine, began.Add(length))
	}
	time.Sleep(time.Until(began.Add(warmUp)))
	back := began.Add(warmUp + silence)
	if c.Trouble {
		if err := disturb(c, store, fleet, back); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(back.Add(changeAfter)))
	store.Put("op", "config", manifest(9, newKey, "other-desk"))
	confirmed := time.Now()
	c.Note("version 9 is confirmed: the key is replaced, and the route leads to other-desk")
	consumers.Wait()
	judge(c, consumers.Tries(), confirmed, back)
	return nil
}

// disturb lets the store fall silent, and kills and restarts the first machine of each zone shortly
// before the store answers again.
func disturb(c *rig3.Case, store *rig3.Store, fleet *rig3.Fleet, back time.Time) error {
	store.SetSilent(true)
	c.Note("the store gives no answers for %v", silence)
	time.Sleep(time.Until(back.Add(-killBefore)))
	var killed []*rig3.Machine
	for _, m := range fleet.Machines {
		if m.Number == 1 {
			m.Signal(syscall.SIGKILL)
			killed = append(killed, m)
		}
	}
	for _, m := range killed {
		m.Kill()
		if err := m.Start(false); err != nil {
			return err
		}
		c.Note("%s was killed and starts again", m.Name)
	}
	time.Sleep(time.Until(back))
	store.SetSilent(false)
	c.Note("the store answers again")
	return nil
}

// judge looks for requests that were sent later than apply after the confirmation, while all machines
// are in touch, and were handled as only the older version allows. Under version 9 the key is unknown.
func judge(c *rig3.Case, tries []rig3.Try, confirmed, back time.Time) {
	from := confirmed.Add(apply)
	if stable := back.Add(contact); stable.After(from) {
		from = stable
	}
	stale := make(map[string]int)
	var last time.Time
	statuses := make(map[string]int)
	for _, try := range tries {
		if try.Sent.Before(from) {
			continue
		}
		statuses[fmt.Sprint(try.Status)]++
		if try.Status != 200 {
			continue
		}
		c.Note("%s: request %s was sent at %.3f s, %.3f s after the confirmation, and was run by %s", try.Machine, try.ID, c.At(try.Sent), try.Sent.Sub(confirmed).Seconds(), try.Header.Get(rig3.FieldReplica))
		stale[try.Machine]++
		if try.Sent.After(last) {
			last = try.Sent
		}
	}
	c.Note("from %.3f s on, all machines are in touch and the version is in force; answers by status: %v", c.At(from), statuses)
	if len(stale) > 0 {
		total := 0
		for _, n := range stale {
			total += n
		}
		c.Break("CONFIG: %d requests with a dropped key were run at %d machines, the last one sent %.3f s after the confirmation of the version without the key", total, len(stale), last.Sub(confirmed).Seconds())
	}
}
