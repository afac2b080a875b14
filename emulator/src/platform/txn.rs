//! Transactions: conditions and operations that take effect as one change.

use std::cmp::Ordering;

use jujubewind::wire::Int64;
use jujubewind::wire::platform::Compare;
use jujubewind::wire::platform::CompareResult;
use jujubewind::wire::platform::CompareTarget;
use jujubewind::wire::platform::KeyValue;
use jujubewind::wire::platform::RequestOp;
use jujubewind::wire::platform::ResponseOp;
use jujubewind::wire::platform::TxnRequest;
use jujubewind::wire::platform::TxnResponse;

use super::Result;
use super::Store;

impl Store {
    /// Runs the success operations if all conditions hold, else the failure operations.
    ///
    /// # Errors
    /// An operation is not valid; nothing is changed in this case.
    pub fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse> {
        let succeeded = request.compare.iter().all(|compare| self.holds(compare));
        let ops = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        for op in ops {
            self.check_op(op)?;
        }
        let revision = self.revision + 1;
        let responses = ops.iter().map(|op| self.run_op(revision, op));
        let responses = responses.collect::<Result<Vec<ResponseOp>>>()?;
        Ok(TxnResponse {
            header: Some(self.header()),
            responses,
            succeeded: Some(succeeded),
        })
    }

    fn check_op(&self, op: &RequestOp) -> Result<()> {
        if let Some(range) = &op.request_range {
            self.range(range)?;
        }
        op.request_put
            .as_ref()
            .map_or(Ok(()), |put| self.check_put(put))
    }

    fn run_op(&mut self, revision: i64, op: &RequestOp) -> Result<ResponseOp> {
        let mut response = ResponseOp::default();
        if let Some(range) = &op.request_range {
            response.response_range = Some(self.range(range)?);
        }
        if let Some(put) = &op.request_put {
            response.response_put = Some(self.put_at(revision, put));
        }
        if let Some(delete) = &op.request_delete_range {
            response.response_delete_range = Some(self.delete_at(revision, delete));
        }
        Ok(response)
    }

    fn holds(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(compare.key.as_bytes());
        let Some(ordering) = compare_key(compare, kv) else {
            return false;
        };
        match compare.result.unwrap_or(CompareResult::Equal) {
            CompareResult::Equal => ordering == Ordering::Equal,
            CompareResult::Greater => ordering == Ordering::Greater,
            CompareResult::Less => ordering == Ordering::Less,
            CompareResult::NotEqual => ordering != Ordering::Equal,
        }
    }
}

/// Compares the key with the condition's operand; a missing key has zero numbers and no value.
fn compare_key(compare: &Compare, kv: Option<&KeyValue>) -> Option<Ordering> {
    let number = |field: fn(&KeyValue) -> Option<Int64>, operand: Option<Int64>| {
        let actual = Int64::or_zero(kv.and_then(field));
        Some(actual.cmp(&Int64::or_zero(operand)))
    };
    match compare.target.unwrap_or(CompareTarget::Version) {
        CompareTarget::Version => number(|kv| kv.version, compare.version),
        CompareTarget::Create => number(|kv| kv.create_revision, compare.create_revision),
        CompareTarget::Mod => number(|kv| kv.mod_revision, compare.mod_revision),
        CompareTarget::Lease => number(|kv| kv.lease, compare.lease),
        CompareTarget::Value => {
            let actual = kv?.value.clone().unwrap_or_default();
            Some(actual.cmp(&compare.value.clone().unwrap_or_default()))
        }
    }
}
