// Command siskinctl is the operators' command line client of siskinpath.
package main

func main() {}
