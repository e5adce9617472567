// Package quarantine finds the part of a prompt that crashes upstreams and holds back
// the requests that have it.
//
// When a process of an upstream crashes, every answer that it had not begun is evidence
// against the shared parts of its request's prompt. Nearly all of these parts are sound;
// an answer to a prompt with a part, from any upstream, clears the part of all earlier
// evidence. A part against which crashes at several separate moments speak, none of
// which another part explains, is held.
//
// Nodes exchange evidence, answers and holds. Each judges by itself what it knows, and
// adopts the holds of the others. A hold ends when a trial request is answered, when
// requests with the part no longer come, or after a day.
package quarantine
