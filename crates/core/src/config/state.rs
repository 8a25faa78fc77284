//! The configuration in force at one node.

use serde::{Deserialize, Serialize};

use crate::config::change;
use crate::config::declaration;
use crate::config::endpoint;
use crate::config::group;
use crate::config::organisation;
use crate::config::service;
use crate::name;
use crate::revision;

/// A declared object with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedObject {
    /// Key of the object.
    pub key: declaration::ObjectKey,
    /// Revision that last changed the object. Operators pass it with an edit so that concurrent changes are detected.
    pub version: revision::Revision,
    /// The object.
    pub object: declaration::Declaration,
}

/// The declarations in force and their revision.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ConfigState {
    /// Never decreases.
    revision: revision::Revision,
    /// Sorted by key. Contains each key once.
    #[serde(rename = "entries")]
    objects: Vec<VersionedObject>,
}

/// Result of applying a change or a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyResult {
    /// The change or snapshot is now in force.
    Applied,
    /// The revision in force is the same or newer.
    Stale,
    /// Changes between the revision in force and this change are missing.
    Gap,
}

impl ConfigState {
    /// Returns the revision in force, or zero if there is none yet.
    pub fn revision(&self) -> revision::Revision {
        self.revision
    }

    /// Applies `change` if its revision directly follows the revision in force.
    pub fn apply(&mut self, change: &change::Change) -> ApplyResult {
        if change.revision <= self.revision {
            return ApplyResult::Stale;
        }
        if change.revision != self.revision.next() {
            return ApplyResult::Gap;
        }
        for edit in &change.edits {
            self.apply_edit(edit, change.revision);
        }
        self.revision = change.revision;
        ApplyResult::Applied
    }

    /// Replaces the whole state by `snapshot` if the snapshot is newer.
    pub fn adopt_snapshot(&mut self, snapshot: &Self) -> ApplyResult {
        if snapshot.revision <= self.revision {
            return ApplyResult::Stale;
        }
        self.clone_from(snapshot);
        ApplyResult::Applied
    }

    /// Creates the state that consists of `objects` at `revision`.
    pub fn from_objects(revision: revision::Revision, mut objects: Vec<VersionedObject>) -> Self {
        objects.sort_by(|a, b| a.key.cmp(&b.key));
        objects.dedup_by(|a, b| a.key == b.key);
        Self { revision, objects }
    }

    fn apply_edit(&mut self, edit: &change::Edit, version: revision::Revision) {
        let key = edit.key();
        let position = self.objects.binary_search_by(|o| o.key.cmp(&key));
        match (edit, position) {
            (change::Edit::Put(object), Ok(at)) => {
                self.objects[at].object = object.clone();
                self.objects[at].version = version;
            }
            (change::Edit::Put(object), Err(at)) => {
                let object = object.clone();
                self.objects.insert(at, VersionedObject { key, version, object });
            }
            (change::Edit::Remove(_), Ok(at)) => {
                self.objects.remove(at);
            }
            (change::Edit::Remove(_), Err(_)) => {}
        }
    }

    /// Returns a copy with `edits` applied, for validating them before they are accepted.
    #[must_use]
    pub fn preview(&self, edits: &[change::Edit]) -> Self {
        let mut next = self.clone();
        let version = self.revision.next();
        for edit in edits {
            next.apply_edit(edit, version);
        }
        next.revision = version;
        next
    }

    /// Returns all objects in force, sorted by key.
    pub fn objects(&self) -> &[VersionedObject] {
        &self.objects
    }

    /// Returns the object with the given key.
    pub fn get(&self, key: &declaration::ObjectKey) -> Option<&VersionedObject> {
        let at = self.objects.binary_search_by(|o| o.key.cmp(key)).ok()?;
        Some(&self.objects[at])
    }

    fn find_object(&self, kind: declaration::Kind, name: &name::Name) -> Option<&declaration::Declaration> {
        let target = (kind, name);
        let at = self
            .objects
            .binary_search_by(|o| (o.key.kind, &o.key.name).cmp(&target))
            .ok()?;
        Some(&self.objects[at].object)
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &name::Name) -> Option<&service::Service> {
        match self.find_object(declaration::Kind::Service, name) {
            Some(declaration::Declaration::Service(service)) => Some(service),
            _ => None,
        }
    }

    /// Returns the group with the given name.
    pub fn group(&self, name: &name::Name) -> Option<&group::Group> {
        match self.find_object(declaration::Kind::Group, name) {
            Some(declaration::Declaration::Group(group)) => Some(group),
            _ => None,
        }
    }

    /// Returns the organisation with the given name.
    pub fn organisation(&self, name: &name::Name) -> Option<&organisation::Organisation> {
        match self.find_object(declaration::Kind::Organisation, name) {
            Some(declaration::Declaration::Organisation(organisation)) => Some(organisation),
            _ => None,
        }
    }

    /// Returns the endpoint with the given name.
    pub fn endpoint(&self, name: &name::Name) -> Option<&endpoint::Endpoint> {
        match self.find_object(declaration::Kind::Endpoint, name) {
            Some(declaration::Declaration::Endpoint(endpoint)) => Some(endpoint),
            _ => None,
        }
    }

    /// Iterates over all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &endpoint::Endpoint> {
        self.objects.iter().filter_map(|o| match &o.object {
            declaration::Declaration::Endpoint(endpoint) => Some(endpoint),
            _ => None,
        })
    }

    /// Iterates over all groups.
    pub fn groups(&self) -> impl Iterator<Item = &group::Group> {
        self.objects.iter().filter_map(|o| match &o.object {
            declaration::Declaration::Group(group) => Some(group),
            _ => None,
        })
    }
}
