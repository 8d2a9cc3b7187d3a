/**
 * Which instances forward what they are told of crashes. Load pattern: dozens of endpoints break their connections within a second, each with
 * requests of every instance. If every instance forwarded all that is new to it, each piece of news would cross every link: with thirty
 * instances thirty times as many bytes as the news itself, which fills the links of small instances, so that their connections to healthy
 * endpoints time out.
 *
 * The writer tells all it reaches, and the store has what is certain. Forwarding serves instances that its writer does not reach; a few
 * instances, others for each piece of news, suffice for that.
 */
import {hash32} from '../hashing/index.js';

/** Instances that forward one piece of news, where there are more. */
const forwarders = 3;

/** Whether an instance is among those that forward news with this key. `instances` may lack the instance itself. */
export function isForwarder(key: string, instance: string, instances: readonly string[]): boolean {
	const score = scoreOf(key, instance);
	return instances.filter(other => other !== instance && scoreOf(key, other) > score).length < forwarders;
}

function scoreOf(key: string, instance: string): number {
	return hash32(`${key}\n${instance}`);
}
