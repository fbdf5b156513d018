//! Conversions between typed messages and the schema's readers and builders.

use bytes::Bytes;
use capnp::Error;

use crate::{
    AttemptId, AttemptState, Dispatch, Frame, FrameKind, Hello, Refusal, Verdict,
    wire_capnp,
};

fn read_text(reader: capnp::text::Reader<'_>) -> Result<String, Error> {
    Ok(reader.to_str()?.to_owned())
}

pub(crate) fn write_hello(from: &Hello, mut to: wire_capnp::hello::Builder<'_>) {
    to.set_instance(&from.instance);
    to.set_room(&from.failure_domain);
    to.set_region(&from.region);
    to.set_address(&from.address);
    to.set_config_offset(from.config_offset);
    to.set_log_age_ms(from.log_age_ms);
    to.set_leaving(from.draining);
    to.set_endpoint(&from.endpoint);
    to.set_service(&from.service);
    to.set_running(from.running);
    to.set_queued(from.queued);
    to.set_slots(from.slots);
    to.set_token_us(from.token_us);
    let mut versions = to.init_versions(from.versions.len() as u32);
    for (index, version) in from.versions.iter().enumerate() {
        versions.set(index as u32, version);
    }
}

pub(crate) fn read_hello(from: wire_capnp::hello::Reader<'_>) -> Result<Hello, Error> {
    Ok(Hello {
        instance: read_text(from.get_instance()?)?,
        failure_domain: read_text(from.get_room()?)?,
        region: read_text(from.get_region()?)?,
        address: read_text(from.get_address()?)?,
        config_offset: from.get_config_offset(),
        log_age_ms: from.get_log_age_ms(),
        draining: from.get_leaving(),
        endpoint: read_text(from.get_endpoint()?)?,
        service: read_text(from.get_service()?)?,
        versions: read_texts(from.get_versions()?)?,
        running: from.get_running(),
        queued: from.get_queued(),
        slots: from.get_slots(),
        token_us: from.get_token_us(),
    })
}

pub(crate) fn read_texts(
    list: capnp::text_list::Reader<'_>,
) -> Result<Vec<String>, Error> {
    list.iter().map(|item| read_text(item?)).collect()
}

pub(crate) fn write_dispatch(
    from: &Dispatch,
    mut to: wire_capnp::dispatch::Builder<'_>,
) {
    to.set_request_id(&from.id.request_id);
    to.set_attempt(from.id.attempt);
    to.set_team(&from.team);
    to.set_model(&from.model);
    to.set_version(&from.version);
    to.set_service(&from.service);
    to.set_body(&from.body);
    to.set_path(&from.path);
    to.set_idempotent(from.idempotent);
    to.set_key(&from.key);
    to.set_deadline_ms(from.deadline_ms);
    to.set_config_offset(from.config_offset);
    to.set_prior_steps(&from.prior_lines);
    to.set_resume_text(&from.resume_text);
    to.set_resume_tokens(from.resume_tokens);
    to.set_priority(from.priority);
    to.set_continues(from.continues);
    to.set_owner(&from.owner);
    to.set_cost_micros(from.cost_micros);
}

pub(crate) fn read_dispatch(
    from: wire_capnp::dispatch::Reader<'_>,
) -> Result<Dispatch, Error> {
    Ok(Dispatch {
        id: AttemptId {
            request_id: read_text(from.get_request_id()?)?,
            attempt: from.get_attempt(),
        },
        team: read_text(from.get_team()?)?,
        model: read_text(from.get_model()?)?,
        version: read_text(from.get_version()?)?,
        service: read_text(from.get_service()?)?,
        body: Bytes::copy_from_slice(from.get_body()?),
        path: read_text(from.get_path()?)?,
        idempotent: from.get_idempotent(),
        key: read_text(from.get_key()?)?,
        deadline_ms: from.get_deadline_ms(),
        config_offset: from.get_config_offset(),
        prior_lines: read_text(from.get_prior_steps()?)?,
        resume_text: read_text(from.get_resume_text()?)?,
        resume_tokens: from.get_resume_tokens(),
        priority: from.get_priority(),
        continues: from.get_continues(),
        owner: read_text(from.get_owner()?)?,
        cost_micros: from.get_cost_micros(),
    })
}

pub(crate) fn write_verdict(from: &Verdict, mut to: wire_capnp::verdict::Builder<'_>) {
    to.set_config_offset(from.config_offset);
    to.set_accepted(from.refusal.is_none());
    if let Some(refusal) = &from.refusal {
        to.set_reason(&refusal.reason);
        to.set_remedy(&refusal.remedy);
        to.set_retry_after_ms(refusal.retry_after_ms);
    }
}

pub(crate) fn read_verdict(
    from: wire_capnp::verdict::Reader<'_>,
) -> Result<Verdict, Error> {
    let refusal = Refusal {
        reason: read_text(from.get_reason()?)?,
        remedy: read_text(from.get_remedy()?)?,
        retry_after_ms: from.get_retry_after_ms(),
    };
    Ok(Verdict {
        refusal: (!from.get_accepted()).then_some(refusal),
        config_offset: from.get_config_offset(),
    })
}

pub(crate) fn write_frame(from: &Frame, mut to: wire_capnp::frame::Builder<'_>) {
    to.set_request_id(&from.id.request_id);
    to.set_attempt(from.id.attempt);
    to.set_seq(from.seq);
    to.set_kind(match from.kind {
        FrameKind::Chunk => wire_capnp::frame::Kind::Chunk,
        FrameKind::End => wire_capnp::frame::Kind::End,
        FrameKind::Failed => wire_capnp::frame::Kind::Failed,
    });
    to.set_payload(&from.payload);
    to.set_tokens(from.tokens);
    to.set_prompt_tokens(from.prompt_tokens);
    to.set_count(from.count);
    to.set_checksum(from.checksum);
    to.set_status(from.status);
    to.set_replayed(from.replayed);
}

pub(crate) fn read_frame(from: wire_capnp::frame::Reader<'_>) -> Result<Frame, Error> {
    Ok(Frame {
        id: AttemptId {
            request_id: read_text(from.get_request_id()?)?,
            attempt: from.get_attempt(),
        },
        seq: from.get_seq(),
        kind: match from.get_kind()? {
            wire_capnp::frame::Kind::Chunk => FrameKind::Chunk,
            wire_capnp::frame::Kind::End => FrameKind::End,
            wire_capnp::frame::Kind::Failed => FrameKind::Failed,
        },
        payload: Bytes::copy_from_slice(from.get_payload()?),
        tokens: from.get_tokens(),
        prompt_tokens: from.get_prompt_tokens(),
        count: from.get_count(),
        checksum: from.get_checksum(),
        status: from.get_status(),
        replayed: from.get_replayed(),
    })
}

pub(crate) fn write_state(
    from: &AttemptState,
    mut to: wire_capnp::attempt_state::Builder<'_>,
) {
    use wire_capnp::attempt_state::State;
    to.set_state(match from {
        AttemptState::Unseen => State::Unseen,
        AttemptState::Running => State::Running,
        AttemptState::Done => State::Done,
        AttemptState::Failed(_) => State::Failed,
        AttemptState::Tombstoned => State::Tombstoned,
    });
    if let AttemptState::Failed(detail) = from {
        to.set_detail(detail);
    }
}

pub(crate) fn read_state(
    from: wire_capnp::attempt_state::Reader<'_>,
) -> Result<AttemptState, Error> {
    use wire_capnp::attempt_state::State;
    Ok(match from.get_state()? {
        State::Unseen => AttemptState::Unseen,
        State::Running => AttemptState::Running,
        State::Done => AttemptState::Done,
        State::Failed => AttemptState::Failed(read_text(from.get_detail()?)?),
        State::Tombstoned => AttemptState::Tombstoned,
    })
}
