// Package member keeps a view of which processes of a fleet are alive, by
// probing a few of them each second, and picks members for tasks from it.
//
// A view is advice: two members may see different views at any time, and for
// minutes while a network is cut. Whatever must never happen twice is guarded
// elsewhere, by a lease or a conditional transaction.
//
// # Usage
//
//	brokers := member.Pick(view, "cell/7", 2)
package member
