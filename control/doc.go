// Package control speaks the protocol between entry hosts and control hosts,
// and between control hosts: CBOR frames over TCP. It has the client that finds
// the leader of a log group, and the control host that answers it.
package control
