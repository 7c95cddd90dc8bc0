// Package standin holds small stand-ins for what the platform gives: the
// key-value service, the list of VMList, the weight store, a model engine and a
// plain service. Tests and `make run` use them; the daemons never import them.
//
// Each can be made to fail through a Faults value, in the process or at the
// path /fault.
//
// The forms of messages are those of the clients: packages kv, inventory and engine. Parameters
// that are no numbers count as zero. Each stand-in keeps all it holds in memory.
package standin
