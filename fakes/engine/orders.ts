import {z} from 'zod';

export const orderSchema = z.object({
	order: z.enum(['load-model', 'load-adapter', 'change-role']),
	name: z.string(),
	version: z.string().default('1'),
	fence: z.number().int(),
});
export type Order = z.infer<typeof orderSchema>;

/** What an engine has loaded, and which orders it took. */
export class LoadedState {
	static create(models: readonly string[], checksFences: boolean): LoadedState {
		return new LoadedState(models, checksFences);
	}

	readonly models: Map<string, string>;
	readonly adapters = new Map<string, string>();
	role = 'serve';
	/** The highest fencing number seen. */
	fence = 0;
	/** Every order that was taken, oldest first: the truth of tests. */
	readonly taken: Order[] = [];
	readonly #checksFences: boolean;

	private constructor(models: readonly string[], checksFences: boolean) {
		this.models = new Map(models.map(name => [name, '1']));
		this.#checksFences = checksFences;
	}

	/** False: the order is older than one seen before, and this engine checks. */
	take(order: Order): boolean {
		if (this.#checksFences && order.fence < this.fence) {
			return false;
		}

		this.fence = Math.max(this.fence, order.fence);
		this.taken.push(order);
		switch (order.order) {
			case 'load-model': {
				this.models.set(order.name, order.version);
				return true;
			}

			case 'load-adapter': {
				this.adapters.set(order.name, order.version);
				return true;
			}

			case 'change-role': {
				this.role = order.name;
				return true;
			}
		}
	}

	/** What `GET /v1/models` shows. */
	list(): ReadonlyArray<{id: string; object: 'model'; version: string}> {
		return [...this.models].map(([id, version]) => ({id, object: 'model', version}));
	}

	describe(): Record<string, unknown> {
		return {
			models: Object.fromEntries(this.models), adapters: Object.fromEntries(this.adapters), role: this.role, fence: this.fence,
		};
	}
}
