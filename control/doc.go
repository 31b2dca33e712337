// Package control implements the protocol between entry hosts and control
// hosts, and among control hosts: CBOR frames over TCP, authenticated by the
// deployment key. It contains the client, which finds the leader of a log
// group, and the control host, which replicates the log groups and grants
// leases.
//
// The replicated log is in package replica, and the state machines are in
// packages ledger, membership and tree. Start reading at Client and Host.
package control
