// Command crocusctl is a placeholder until its first commands stand.
package main

func main() {}
