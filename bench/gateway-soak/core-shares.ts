/** Gateways that get only part of a core, as a quota gives it: from the start of each tenth of a second until the quota is used up, and not at all for the rest. */
import {createRandom, type Random} from '../harness/random.js';
import {type GatewayChild} from './child.js';
import {type Range} from './course-world.js';
import {between} from './traffic.js';

const periodMilliseconds = 100;
const leastShare = 0.25;
/** How often, of 1, a gateway has a whole core. */
const wholeShare = 0.4;
const drawnFor: Range = {low: 2000, high: 8000};

type Quota = {share: number; until: number; stoppedAt: number; readonly drawn: Array<{readonly from: number; readonly share: number}>};

export class CoreShares implements Disposable {
	static create(gateways: () => readonly GatewayChild[], seed: number): CoreShares {
		return new CoreShares(gateways, createRandom(seed));
	}

	/** The longest time for which a gateway stood still; longer than a period where the bench itself was late. */
	longestMilliseconds = 0;
	readonly #gateways: () => readonly GatewayChild[];
	readonly #random: Random;
	readonly #quotas: Quota[] = [];
	readonly #timer = setInterval(() => {
		this.#beginPeriod();
	}, periodMilliseconds);

	#isOver = false;

	private constructor(gateways: () => readonly GatewayChild[], random: Random) {
		this.#gateways = gateways;
		this.#random = random;
	}

	/** The share that a gateway had at a time. */
	shareAt(gateway: number, at: number): number {
		return this.#quotas[gateway]?.drawn.findLast(({from}) => from <= at)?.share ?? 1;
	}

	[Symbol.dispose](): void {
		this.#isOver = true;
		clearInterval(this.#timer);
		for (const gateway of this.#gateways()) {
			gateway.wake();
		}
	}

	#beginPeriod(): void {
		const now = performance.now();
		for (const [index, gateway] of this.#gateways().entries()) {
			const quota = this.#quotaOf(index, now);
			if (quota.stoppedAt < now) {
				gateway.wake();
				this.longestMilliseconds = Math.max(this.longestMilliseconds, now - quota.stoppedAt);
				quota.stoppedAt = Infinity;
			}

			if (quota.share < 1) {
				setTimeout(() => {
					this.#stand(gateway, quota);
				}, quota.share * periodMilliseconds);
			}
		}
	}

	#stand(gateway: GatewayChild, quota: Quota): void {
		if (this.#isOver) {
			return;
		}

		gateway.freeze();
		quota.stoppedAt = Math.min(quota.stoppedAt, performance.now());
	}

	#quotaOf(index: number, now: number): Quota {
		const quota = this.#quotas[index] ?? {share: 1, until: 0, stoppedAt: Infinity, drawn: []};
		this.#quotas[index] = quota;
		if (quota.until <= now) {
			quota.share = this.#random.uniform() < wholeShare ? 1 : leastShare + (this.#random.uniform() * (1 - leastShare));
			quota.drawn.push({from: now, share: quota.share});
			quota.until = now + between(this.#random, drawnFor);
		}

		return quota;
	}
}
