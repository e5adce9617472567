// Package operatorcli is what crocusctl does for operators: each function does
// the work of one command and returns a typed result, which prints itself as
// text or is encoded as JSON.
package operatorcli
