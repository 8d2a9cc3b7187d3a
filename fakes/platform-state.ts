const route = {host: 'studio.example', timeoutMs: 1500, targetLatencyMs: 100, priority: 1, maxAttempts: 2, public: false, sticky: false, resumable: false};

/** A desired state (the operator's routing table) with a safe, an unsafe, a resumable and a plain streaming route. */
export function desiredState(version: number, more: Readonly<Record<string, unknown>> = {}): Record<string, unknown> {
	return {
		version,
		routes: [
			{...route, name: 'lookup', pathPrefix: '/lookup/', kind: 'safe', service: 'orders'},
			{...route, name: 'release', pathPrefix: '/release/', kind: 'unsafe', service: 'orders', maxAttempts: 1},
			{...route, name: 'chart', pathPrefix: '/chart/', kind: 'streaming', service: 'models', resumable: true, gapAimMs: 200},
			{...route, name: 'question', pathPrefix: '/question/', kind: 'streaming', service: 'models', maxAttempts: 1, gapAimMs: 100},
		],
		services: [{name: 'orders', maxConnections: 100}, {name: 'models', maxConnections: 100, engine: {slots: 16, kvCapacity: 400_000, stride: 7}}],
		limits: {maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000},
		tenants: [{name: 'studio-a', apiKeys: ['key-a']}, {name: 'studio-b', apiKeys: ['key-b']}],
		...more,
	};
}
