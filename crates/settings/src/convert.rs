//! From the settings document to the routing crate's settings: defaults, and the words of the
//! document.

use crate::document::{Category, Customer, FamilyInfo, IndexedList, Rules, SettingsDocument};
use crate::json::{Object, Tolerant, WholeNumber};
use crate::SettingsReadError;
use edge_routing as routing;

/// Fills in the defaults. Fails where an entry of a list by class or zone is of the wrong type.
pub(crate) fn settings(document: SettingsDocument) -> Result<routing::Settings, SettingsReadError> {
    let Object(family) = document.family.unwrap_or_default();
    let Object(limits) = document.limits.unwrap_or_default();
    let Object(rules) = document.rules.unwrap_or_default();
    let Object(telemetry) = document.telemetry.unwrap_or_default();
    let zones = zones(document.localities.unwrap_or_default(), &family)?;
    let own_zone = zones.iter().position(|zone| zone.name == document.zone);
    Ok(routing::Settings {
        classes: classes(document.categories.unwrap_or_default(), &family)?,
        tenants: tenants(document.customers.unwrap_or_default()),
        zones,
        // An index that no zone has: `Settings::validate` rejects it.
        own_zone_index: own_zone.unwrap_or(usize::MAX),
        parent_kind: kind(&document.kinds, family.parent_kind),
        origin_kind: kind(&document.kinds, family.origin_kind).unwrap_or_default(),
        poll_endpoint_list: document.discovery.as_deref() == Some("ask"),
        direct_requests: family.direct_requests.unwrap_or(false),
        coalescing: family.coalescing.unwrap_or(false),
        peer_fill: peer_fill(family.peer_fill.as_deref()),
        provenance: provenance(family.provenance.as_deref()),
        load_reports: load_reports(telemetry.source.as_deref()),
        weights_are_capacities: matches!(document.weights.as_deref(), Some("nominal" | "rough")),
        transfer_kb_per_s: family.transfer_kb_per_s.unwrap_or(0.0),
        max_attempts: WholeNumber::or(limits.max_attempts, 1) as u32,
        hedging: limits.hedging.unwrap_or(false),
        cancellation: limits.cancellation.unwrap_or(false),
        probing: limits.probing.unwrap_or(false),
        retry_after: limits.retry_after.unwrap_or(false),
        max_retry_after_us: WholeNumber::or(limits.max_retry_after_us, 0),
        origin_overload_multiple: family.origin_overload_multiple.unwrap_or(0.0),
        rules: deployment_rules(&rules, &family),
    })
}

fn classes(
    categories: Vec<Object<Category>>,
    family: &FamilyInfo,
) -> Result<Vec<routing::Class>, SettingsReadError> {
    categories
        .into_iter()
        .enumerate()
        .map(|(index, Object(category))| class(index, category, family))
        .collect()
}

fn class(
    index: usize,
    category: Category,
    family: &FamilyInfo,
) -> Result<routing::Class, SettingsReadError> {
    let fresh = entry(&family.freshness_lifetime_us, "good-for-us", index)?;
    let grace = entry(&family.stale_grace_us, "usable-after-us", index)?;
    Ok(routing::Class {
        name: category.name,
        latency_objective_us: category.latency_objective_us.0,
        objective_per_transfer_time: category.objective_per_transfer_time.unwrap_or(0.0),
        deadline_us: category.deadline_us.0,
        priority_weight: category.priority_weight.unwrap_or(1.0),
        late_weight: category.late_weight.unwrap_or(0.0),
        idempotency: idempotency(category.idempotency.as_deref()),
        dedup_scope: dedup_scope(category.dedup_scope.as_deref()),
        dedup_window_us: WholeNumber::or(category.dedup_window_us, 0),
        streaming: category.streaming.unwrap_or(false),
        multipart: entry(&family.multipart, "in-pieces", index)?.unwrap_or(false),
        is_write: entry(&family.is_write, "never-kept", index)?.unwrap_or(false),
        freshness_lifetime_us: WholeNumber::or(fresh, 0),
        stale_grace_us: WholeNumber::or(grace, 0),
        stale_weight: entry(&family.stale_weight, "old-copy-worth", index)?.unwrap_or(0.0),
    })
}

fn tenants(customers: Vec<Object<Customer>>) -> Vec<routing::Tenant> {
    customers
        .into_iter()
        .map(|Object(customer)| routing::Tenant {
            name: customer.name,
            quota_rps: customer.quota_rps.unwrap_or(0.0),
        })
        .collect()
}

fn zones(names: Vec<String>, family: &FamilyInfo) -> Result<Vec<routing::Zone>, SettingsReadError> {
    names
        .into_iter()
        .enumerate()
        .map(|(index, name)| {
            let edge_proxies = entry(&family.edge_proxies, "seats-by-zone", index)?;
            let hub = entry(&family.hub, "attached-to", index)?;
            let link = entry(&family.link_kb_per_s, "zone-link-kb-per-s", index)?;
            Ok(routing::Zone {
                name,
                edge_proxies: WholeNumber::or(edge_proxies, 1) as u32,
                hub: WholeNumber::or(hub, 0) as usize,
                link_kb_per_s: link.unwrap_or(0.0),
            })
        })
        .collect()
}

fn deployment_rules(rules: &Rules, family: &FamilyInfo) -> routing::Rules {
    routing::Rules {
        drain_grace_us: WholeNumber::or(rules.drain_grace_us, 0),
        warm_up_initial_share: rules.warm_up_initial_share.unwrap_or(1.0),
        warm_up_us: WholeNumber::or(rules.warm_up_us, 0),
        overload_multiple: rules.overload_multiple.unwrap_or(1.0),
        overload_window_us: WholeNumber::or(rules.overload_window_us, 1),
        parent_warm_up_initial_share: family.parent_warm_up_initial_share.unwrap_or(1.0),
        parent_warm_up_us: WholeNumber::or(family.parent_warm_up_us, 0),
        parent_overload_multiple: family.parent_overload_multiple.unwrap_or(1.0),
        purge_grace_us: WholeNumber::or(family.purge_grace_us, 0),
        purge_completion_us: WholeNumber::or(family.purge_completion_us, 0),
        max_poll_interval_us: WholeNumber::or(rules.poll_within_us, 0),
    }
}

/// The entry of a `family-info` list for a class or zone; none where the list is absent or shorter.
fn entry<T: Copy>(
    list: &IndexedList<T>,
    key: &str,
    index: usize,
) -> Result<Option<T>, SettingsReadError> {
    match list.as_ref().and_then(|list| list.get(index)) {
        None => Ok(None),
        Some(Tolerant::Valid(value)) => Ok(Some(*value)),
        Some(Tolerant::Invalid(_)) => Err(SettingsReadError::WrongType {
            path: format!("family-info.{key}[{index}]"),
        }),
    }
}

/// The name of the kind of server at an index of `kinds`.
fn kind(kinds: &IndexedList<String>, index: Option<f64>) -> Option<String> {
    let index = index.filter(|index| *index >= 0.0)? as usize;
    kinds.as_ref()?.get(index)?.as_valid().cloned()
}

// The words of the document. What is absent or not known is read as the most restrictive meaning.

fn idempotency(word: Option<&str>) -> routing::Idempotency {
    match word {
        Some("pure") => routing::Idempotency::Idempotent,
        Some("token") => routing::Idempotency::IdempotencyKey,
        _ => routing::Idempotency::NonIdempotent,
    }
}

fn dedup_scope(word: Option<&str>) -> routing::DedupScope {
    match word {
        Some("all") => routing::DedupScope::All,
        Some("zone") => routing::DedupScope::Zone,
        _ => routing::DedupScope::Cell,
    }
}

fn peer_fill(word: Option<&str>) -> routing::PeerFill {
    match word {
        Some("location") => routing::PeerFill::SameLocation,
        Some("any") => routing::PeerFill::Any,
        _ => routing::PeerFill::Off,
    }
}

fn provenance(word: Option<&str>) -> routing::Provenance {
    match word {
        Some("all") => routing::Provenance::Full,
        Some("hit") => routing::Provenance::HitOnly,
        _ => routing::Provenance::Off,
    }
}

fn load_reports(word: Option<&str>) -> routing::LoadReportSource {
    match word {
        Some("inline") => routing::LoadReportSource::Answers,
        Some("on_probe") => routing::LoadReportSource::Probes,
        _ => routing::LoadReportSource::Off,
    }
}
