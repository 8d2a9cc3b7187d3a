import OpenAI from 'openai';
import tap from 'tap';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet} from '../../bench/harness/local-fleet.js';
import {expectedAnswer} from '../../fakes/index.js';

const model = 'model';
const fleet = await LocalFleet.create({
	entries: 1, endpoints: 2, zones: ['zone-a', 'zone-b'], models: [model], random: () => 0.5, logLevel: 'fatal',
});
await fleet.publish(planCatalogue([model], ['stickwerk']));
await fleet.connected();
tap.teardown(async () => fleet[Symbol.asyncDispose]());
const client = new OpenAI({apiKey: keyOf('stickwerk'), baseURL: `http://${fleet.entries[0]!.entry.address}/v1`, maxRetries: 0});

const messages = [{role: 'user' as const, content: 'Draft a thread chart. [[tokens=25]]'}];
const expected = expectedAnswer(JSON.stringify({model, messages}));

tap.test('the OpenAI client streams a chat response', async t => {
	const {data, response} = await client.chat.completions.create({model, messages, stream: true, stream_options: {include_usage: true}}).withResponse();
	let text = '';
	let tokens: number | undefined;
	for await (const chunk of data) {
		text += chunk.choices[0]?.delta.content ?? '';
		tokens = chunk.usage?.completion_tokens ?? tokens;
	}

	t.equal(text, expected);
	t.equal(tokens, 25);
	t.match(response.headers.get('cassiaflow-request-id'), /^[\da-f\-]{36}$/v);
});

tap.test('the OpenAI client gets a chat response and a completion without streaming', async t => {
	const chat = await client.chat.completions.create({model, messages});
	t.match(chat, {object: 'chat.completion', model, choices: [{message: {role: 'assistant', content: expected}, finish_reason: 'stop'}], usage: {completion_tokens: 25}});
	const bounded = await client.chat.completions.create({model, messages, max_completion_tokens: 5});
	t.equal(bounded.choices[0]?.finish_reason, 'length');
	const prompt = 'Hem the edge. [[tokens=7]]';
	const completion = await client.completions.create({model, prompt});
	t.match(completion, {object: 'text_completion', choices: [{text: expectedAnswer(JSON.stringify({model, prompt})), finish_reason: 'stop'}]});
});

tap.test('the OpenAI client lists the models', async t => {
	const models = await client.models.list();
	t.same(models.data.map(({id, object}) => ({id, object})), [{id: model, object: 'model'}]);
});

tap.test('the OpenAI client reports failures as its own error types, with the verdict', async t => {
	const unknownModel = await errorOf(client.chat.completions.create({model: 'nothing', messages}));
	t.type(unknownModel, OpenAI.NotFoundError);
	t.match(unknownModel, {code: 'model_not_found', error: {verdict: 'not-run'}});
	t.match((unknownModel as InstanceType<typeof OpenAI.NotFoundError>).headers.get('cassiaflow-verdict'), 'not-run');
	const unauthorizedClient = new OpenAI({apiKey: 'nobody', baseURL: client.baseURL, maxRetries: 0});
	t.type(await errorOf(unauthorizedClient.models.list()), OpenAI.AuthenticationError);
	t.type(await errorOf(client.chat.completions.create({model, messages, n: 2})), OpenAI.BadRequestError);
	t.type(await errorOf(client.chat.completions.create({model, messages}, {headers: {'Cassiaflow-Class': 'nothing'}})), OpenAI.BadRequestError);
});

async function errorOf(promise: PromiseLike<unknown>): Promise<unknown> {
	try {
		return await promise;
	} catch (error) {
		return error;
	}
}
