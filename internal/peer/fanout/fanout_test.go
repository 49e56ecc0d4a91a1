package fanout_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/banyanshift/banyanshift/internal/peer/fanout"
)

// node is a daemon of a tree whose messages arrive at once.
type node struct {
	*fanout.Exchange[string]
	name        string
	upstream    *node
	subscribers []*node
	others      []*node
	received    []string
	messages    int
}

// newTree returns a tree with a root for each domain and the given number of
// subscribers below each.
func newTree(domains []string, subscribers int) (nodes []*node) {
	var roots []*node
	for _, domain := range domains {
		root := &node{name: domain + "0", Exchange: fanout.New[string](domain+"0", domain)}
		roots = append(roots, root)
		nodes = append(nodes, root)
		for i := range subscribers {
			name := fmt.Sprint(domain, i+1)
			n := &node{name: name, upstream: root, Exchange: fanout.New[string](name, domain)}
			root.subscribers = append(root.subscribers, n)
			nodes = append(nodes, n)
		}
	}
	for _, root := range roots {
		for _, other := range roots {
			if other != root {
				root.others = append(root.others, other)
			}
		}
	}
	return nodes
}

func (n *node) receive(direction fanout.Direction, items []fanout.Item[string]) {
	for _, item := range n.Receive(direction, items) {
		n.received = append(n.received, item.Report)
	}
}

// send sends what waits, as package fleet does.
func (n *node) send() {
	up, across, down := n.Take(fanout.Up), n.Take(fanout.Across), n.Take(fanout.Down)
	if n.upstream != nil {
		n.sendTo([]*node{n.upstream}, fanout.Up, up)
	}
	n.sendTo(n.others, fanout.Across, across)
	n.sendTo(n.subscribers, fanout.Down, down)
}

func (n *node) sendTo(receivers []*node, direction fanout.Direction, items []fanout.Item[string]) {
	if len(items) == 0 {
		return
	}
	for _, receiver := range receivers {
		n.messages++
		receiver.receive(direction, items)
	}
}

// TestEveryDaemonReceivesEveryReportOnce lets each daemon make one report.
func TestEveryDaemonReceivesEveryReportOnce(t *testing.T) {
	nodes := newTree([]string{"a", "b", "c"}, 4)
	for _, n := range nodes {
		n.Add("of " + n.name)
	}
	for range 6 {
		for _, n := range nodes {
			n.send()
		}
	}
	for _, n := range nodes {
		var want []string
		for _, other := range nodes {
			if other != n {
				want = append(want, "of "+other.name)
			}
		}
		slices.Sort(n.received)
		if !slices.Equal(n.received, want) {
			t.Errorf("%s received %v, want %v", n.name, n.received, want)
		}
		if rest := len(n.Take(fanout.Up)) + len(n.Take(fanout.Across)) + len(n.Take(fanout.Down)); rest != 0 {
			t.Errorf("%s still has %d items to send: reports go round in circles", n.name, rest)
		}
	}
}

// TestMessagesOfARoundGrowWithTheFleet checks that a round of reports takes a number of
// messages in proportion to the number of daemons, not to its square.
func TestMessagesOfARoundGrowWithTheFleet(t *testing.T) {
	for _, subscribers := range []int{5, 50, 100} {
		nodes := newTree([]string{"a", "b", "c"}, subscribers)
		for _, n := range nodes {
			n.Add("report")
		}
		// The subscribers report first, and then the roots pass on.
		slices.Reverse(nodes)
		for range 2 {
			for _, n := range nodes {
				n.send()
			}
		}
		messages := 0
		for _, n := range nodes {
			messages += n.messages
		}
		if limit := 4 * len(nodes); messages > limit {
			t.Errorf("%d messages for %d daemons, want at most %d", messages, len(nodes), limit)
		}
	}
}

// TestReportOfAnotherDomainIsNotSentAcrossAgain guards against a loop between daemons
// that both believe to be the root of a domain.
func TestReportOfAnotherDomainIsNotSentAcrossAgain(t *testing.T) {
	e := fanout.New[string]("a0", "a")
	e.Receive(fanout.Across, []fanout.Item[string]{{Source: "b0", FailureDomain: "b", Report: "x"}})
	e.Receive(fanout.Up, []fanout.Item[string]{{Source: "c0", FailureDomain: "c", Report: "y"}})
	if items := e.Take(fanout.Across); len(items) != 0 {
		t.Errorf("sends %v across, want nothing", items)
	}
	if items := e.Take(fanout.Down); len(items) != 2 {
		t.Errorf("sends %v down, want both", items)
	}
}
