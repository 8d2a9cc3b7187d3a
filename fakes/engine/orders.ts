import {z} from 'zod';

export const orderSchema = z.object({
	order: z.enum(['load-model', 'load-adapter', 'change-role']),
	name: z.string(),
	version: z.string().default('1'),
	fence: z.number().int(),
});
export type Order = z.infer<typeof orderSchema>;

/** The models and adapters that an engine has loaded, and the orders that it accepted. */
export class LoadedState {
	static create(models: readonly string[], checksFences: boolean): LoadedState {
		return new LoadedState(models, checksFences);
	}

	readonly models: Map<string, string>;
	readonly adapters = new Map<string, string>();
	role = 'serve';
	/** The highest fencing number seen. */
	fence = 0;
	/** Every accepted order, oldest first, for tests. */
	readonly taken: Order[] = [];
	readonly #checksFences: boolean;

	private constructor(models: readonly string[], checksFences: boolean) {
		this.models = new Map(models.map(name => [name, '1']));
		this.#checksFences = checksFences;
	}

	/** Applies an order. Returns false if its fencing number is lower than one seen before and this engine checks it. */
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

	/** Returns the data of `GET /v1/models`. */
	list(): ReadonlyArray<{id: string; object: 'model'; version: string}> {
		return [...this.models].map(([id, version]) => ({id, object: 'model', version}));
	}

	describe(): Record<string, unknown> {
		return {
			models: Object.fromEntries(this.models), adapters: Object.fromEntries(this.adapters), role: this.role, fence: this.fence,
		};
	}
}
