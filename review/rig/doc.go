//go:build review

// Command rig runs one case of the independent review: it starts the project's gateways as
// separate processes with small stand-ins of the platform, of replicas and of consumers on
// loopback addresses, brings about one disruption, and checks one rule.
//
// # Usage
//
//	rig -case NAME -dir FOLDER -gateway PROGRAM -template deploy/gateway.ini
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not
// run. With TROUBLE=0 in the environment it leaves the disruption out. FOLDER/record.txt says
// what was sent, answered and run.
package main
