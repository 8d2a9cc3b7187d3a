import {type Job} from './batch.js';

export type Protocol = 'chat' | 'completions';

/** Formats the event of token `index` of a job. */
export function tokenEvent(protocol: Protocol, id: string, job: Job, index: number): string {
	const {task} = job;
	const text = JSON.stringify(task.token(index));
	const finish = index + 1 < task.length ? 'null' : (task.isBounded ? '"length"' : '"stop"');
	const choice = protocol === 'chat'
		? `{"index":0,"delta":{${index === 0 ? '"role":"assistant",' : ''}"content":${text}},"finish_reason":${finish}}`
		: `{"index":0,"text":${text},"finish_reason":${finish},"logprobs":null}`;
	return formatEvent(protocol, id, task.model, `"token_index":${index},"choices":[${choice}]`);
}

/** Formats the usage event of a complete response and the closing `[DONE]`. */
export function closingEvents(protocol: Protocol, id: string, job: Job): string {
	const {promptTokens, length, model} = job.task;
	const usage = `{"prompt_tokens":${promptTokens},"completion_tokens":${length},"total_tokens":${promptTokens + length}}`;
	return `${formatEvent(protocol, id, model, `"choices":[],"usage":${usage}`)}data: [DONE]\n\n`;
}

function formatEvent(protocol: Protocol, id: string, model: string, rest: string): string {
	const kind = protocol === 'chat' ? 'chat.completion.chunk' : 'text_completion';
	return `data: {"id":${JSON.stringify(id)},"object":"${kind}","created":0,"model":${JSON.stringify(model)},${rest}}\n\n`;
}
