//! Admission control: API keys, catalogue lookup and rate limits.

use super::Admission;
use super::Permit;
use super::state::State;
use crate::catalogue::Catalogue;
use crate::catalogue::Entry;
use crate::catalogue::Limits;
use crate::entry::Failure;
use crate::limits::Charge;
use crate::limits::Rates;
use crate::refusal::Reason;
use crate::types::Credit;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::MonoTime;
use crate::types::OrgId;
use crate::types::Revision;
use crate::types::Tokens;

/// Retry delay for callers of an entry that has no catalogue yet.
const NO_CATALOGUE_DELAY: Millis = Millis(1_000);

impl State {
    /// Admits a request, or returns the reason for the refusal and the retry delay.
    pub(super) fn admit(
        &mut self,
        now: MonoTime,
        admission: &Admission,
    ) -> Result<Permit, Failure> {
        if let Some(refusal) = self.stage.refusal() {
            return Err(refusal.into());
        }
        let (catalogue, org) = self.authenticate(admission.key.as_deref())?;
        let unknown = Failure::not_run(Reason::UnknownModel, Millis::ZERO);
        let entry = catalogue
            .entry_for(&org, &admission.name)
            .ok_or(unknown)?
            .clone();
        let is_model = entry.service().is_none();
        if is_model && admission.prompt > entry.limits.longest_prompt {
            return Err(Failure::not_run(Reason::PromptTooLong, Millis::ZERO));
        }
        let permit = self.permit(org, entry, admission);
        self.limiter.admit(now, &permit.charge, &permit.rates)?;
        self.budget.record_request();
        self.load
            .begin(now.after(permit.entry.limits.longest_timeout));
        Ok(permit)
    }

    /// Ends an admitted request and refunds the tokens it did not use.
    pub(super) fn release(&mut self, permit: &Permit, output: Tokens) {
        let used = permit.prompt.saturating_add(output);
        self.limiter
            .finish(&permit.charge, &permit.rates, used, Credit::ZERO);
        self.load.end();
    }

    /// The models and services that the owner of `key` may use.
    pub(super) fn names(&self, key: Option<&str>) -> Result<Vec<ModelId>, Failure> {
        let (catalogue, org) = self.authenticate(key)?;
        Ok(catalogue.names_of(&org).cloned().collect())
    }

    /// Looks up the catalogue entry that applies when `org` uses `name`; needs no API key.
    pub(super) fn lookup(&self, org: &OrgId, name: &ModelId) -> Result<(Revision, Entry), Failure> {
        if let Some(refusal) = self.stage.refusal() {
            return Err(refusal.into());
        }
        let none = Failure::not_run(Reason::NoCatalogue, NO_CATALOGUE_DELAY);
        let catalogue = self.catalogue.as_deref().ok_or(none)?;
        let unknown = Failure::not_run(Reason::UnknownModel, Millis::ZERO);
        let entry = catalogue.entry_for(org, name).ok_or(unknown)?;
        Ok((catalogue.revision(), entry.clone()))
    }

    fn authenticate(&self, key: Option<&str>) -> Result<(&Catalogue, OrgId), Failure> {
        let none = Failure::not_run(Reason::NoCatalogue, NO_CATALOGUE_DELAY);
        let catalogue = self.catalogue.as_deref().ok_or(none)?;
        let owner = key.and_then(|key| catalogue.owner_of(key)).cloned();
        let denied = Failure::not_run(Reason::Unauthorized, Millis::ZERO);
        Ok((catalogue, owner.ok_or(denied)?))
    }

    fn permit(&self, org: OrgId, entry: Entry, admission: &Admission) -> Permit {
        let output = admission.output.min(entry.limits.longest_output);
        let charge = Charge {
            entry: entry.id.clone(),
            org: org.clone(),
            tokens: admission.prompt.saturating_add(output),
            credit: Credit::ZERO,
        };
        let entries = self.members.view().entries().count();
        let rates = fleet_rates(&entry.limits, entry.service().is_none());
        Permit {
            org,
            rates: rates.split(entries as u64),
            entry,
            charge,
            prompt: admission.prompt,
            output,
        }
    }
}

/// The limits for the whole fleet, before they are split among the entries.
fn fleet_rates(limits: &Limits, is_model: bool) -> Rates {
    Rates {
        requests: Some(limits.request_rate.get()),
        burst: Some(limits.request_burst.get()),
        tokens: is_model.then_some(limits.token_rate.get()),
        concurrency: Some(limits.concurrency.get()),
        metered: false,
    }
}
