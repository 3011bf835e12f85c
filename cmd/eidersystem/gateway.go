package main

import (
	"context"

	"eiderway/gateway"
)

func runGateway(ctx context.Context, process process) error {
	return gateway.Run(ctx, gateway.Options{
		Settings:  process.settings,
		Reload:    process.changed,
		Log:       process.log,
		Terminate: process.terminated,
		Publish:   process.publish,
	})
}
