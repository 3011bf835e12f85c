package main

import (
	"context"

	"eiderway/gateway"
)

func runGateway(ctx context.Context, options runOptions) error {
	return gateway.Run(ctx, gateway.Options{
		Settings:  options.settings,
		Reload:    options.changed,
		Log:       options.log,
		Terminate: options.terminated,
		Publish:   options.publish,
	})
}
