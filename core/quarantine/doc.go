// Package quarantine finds what crashes upstreams, a part of prompts or a whole request that
// comes again, and holds back the requests concerned.
//
// When a process of an upstream crashes, every answer that it had not begun is evidence
// against its request and the shared parts of its prompt: they are suspect. Nearly all of them
// are sound; an answer to a request with a suspect, from any upstream, clears it of all earlier
// evidence. A suspect that crashes at several separate moments implicate, none of which another
// one explains, is held.
//
// Nodes exchange evidence, answers and holds. Each judges by itself what it knows, and
// adopts the holds of the others. A hold ends when a trial request is answered, when
// requests with the suspect no longer come, or after a day.
package quarantine
