// Command siskinpathd is the entry host daemon of siskinpath.
package main

func main() {}
