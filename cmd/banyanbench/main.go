// Command banyanbench is filled in by the packages that it starts.
package main

func main() {}
