// Package operatorcli implements the commands of crocusctl for operators. Each
// function implements one command and returns a typed result, which can be written
// as text or encoded as JSON.
package operatorcli
