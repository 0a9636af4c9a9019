export { startEndpoint, startEndpointGroup, type GroupOptions, type RunningEndpoint } from './endpoint/start-endpoint.ts'
export { endpointSettingsSchema, faultsSchema, type EndpointOptions, type EndpointSettings, type FaultChange } from './endpoint/settings.ts'
export * from './endpoint/group-rules.ts'
