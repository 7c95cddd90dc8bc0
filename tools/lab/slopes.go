package main

import "context"

func slopes(context.Context, string, string) error { return nil }
